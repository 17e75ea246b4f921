package org.waxwingbeam.operator;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingbeam.wire.routing.HostRoute;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.ServiceTerms;
import org.waxwingbeam.wire.routing.WeightedService;

class RoutingDocumentValidatorTest {
  private static RoutingDocument document(String route, String service) {
    return RoutingDocument.newBuilder()
        .setVersion(3)
        .addRoutes(
            HostRoute.newBuilder()
                .setName(route)
                .setHost("shop.example")
                .setPathPrefix("/")
                .setTimeoutMs(800)
                .addServices(WeightedService.newBuilder().setService(service).setWeight(1)))
        .addServices(ServiceTerms.newBuilder().setName(service))
        .build();
  }

  @Test
  void documentWithNamesOfTheFormatIsValid() {
    assertThat(RoutingDocumentValidator.faults(document("r-1", "alpha"))).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "R-1", "a_b", "a b"})
  void documentWithNamesThatEntryInstancesCannotUseIsRefused(String name) {
    assertThat(RoutingDocumentValidator.faults(document(name, "alpha"))).hasSize(1);
    assertThat(RoutingDocumentValidator.faults(document("r-1", name))).hasSize(1);
  }
}
