package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.wire.routing.CallerLimits;
import org.waxwingbeam.wire.routing.HostRoute;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.ServiceTerms;
import org.waxwingbeam.wire.routing.WeightedService;

class RouteTableTest {
  private static final RoutingDocument DOCUMENT =
      RoutingDocument.newBuilder()
          .setVersion(7)
          .addRoutes(route("all", "shop.example", "/", "alpha", 1))
          .addRoutes(route("orders", "shop.example", "/orders/", "beta", 1))
          .addRoutes(
              route("split", "split.example", "/", "alpha", 9).toBuilder()
                  .addServices(weighted("beta", 1)))
          .addServices(ServiceTerms.newBuilder().setName("alpha"))
          .addServices(ServiceTerms.newBuilder().setName("beta"))
          .build();

  private static HostRoute route(
      String name, String host, String prefix, String service, double weight) {
    return HostRoute.newBuilder()
        .setName(name)
        .setHost(host)
        .setPathPrefix(prefix)
        .setTimeoutMs(800)
        .setGoalMs(300)
        .setRank(1)
        .setMaxAttempts(2)
        .addServices(weighted(service, weight))
        .build();
  }

  private static WeightedService weighted(String service, double weight) {
    return WeightedService.newBuilder().setService(service).setWeight(weight).build();
  }

  private static RoutePolicy policy(RouteTable table, String host, String uri) {
    return ((Classification.Accepted) table.classify("GET", host, uri)).policy();
  }

  @Test
  void longestPathPrefixOfTheHostMatches() {
    RouteTable table = new RouteTable(DOCUMENT, 0);

    assertThat(policy(table, "shop.example", "/orders/7?x=/").route().value()).isEqualTo("orders");
    assertThat(policy(table, "Shop.Example:8080", "/orders").route().value()).isEqualTo("all");
    assertThat(policy(table, "shop.example", "/").parameters().value(Parameter.DEADLINE))
        .isEqualTo(800);
  }

  @Test
  void requestWithoutRouteIsRefusedAsIsolatedUntilTheFirstDocument() {
    assertThat(new RouteTable(DOCUMENT, 0).classify("GET", "other.example", "/"))
        .isEqualTo(new Classification.Refused(ErrorKind.NO_ROUTE));
    assertThat(new RouteTable().classify("GET", "shop.example", "/"))
        .isEqualTo(new Classification.Refused(ErrorKind.ISOLATED));
  }

  @Test
  void splitMatchesItsWeightsOverFewRequestsFromAnyPhase() {
    for (double phase : new double[] {0, 0.3, 0.95}) {
      RouteTable table = new RouteTable(DOCUMENT, phase);
      long beta =
          IntStream.range(0, 200)
              .filter(i -> policy(table, "split.example", "/").service().value().equals("beta"))
              .count();
      assertThat(beta).isIn(com.google.common.collect.Range.closed(18L, 22L));
    }
  }

  @Test
  void documentWithValuesBeyondTheRangesOfParametersCanBeCompiled() {
    HostRoute slow =
        route("slow", "slow.example", "/", "alpha", 1).toBuilder()
            .setTimeoutMs(7_200_000)
            .setGoalMs(130_000)
            .setIdempotent(true)
            .build();
    RoutingDocument document =
        DOCUMENT.toBuilder()
            .addRoutes(slow)
            .addServices(
                ServiceTerms.newBuilder().setName("gamma").setConnectionLimit(200_000).build())
            .addRoutes(route("many", "many.example", "/", "gamma", 1))
            .setLimits(CallerLimits.newBuilder().setBodyBytes(1L << 41))
            .build();

    RouteTable table = new RouteTable(document, 0);

    assertThat(policy(table, "slow.example", "/").value(Parameter.DEADLINE))
        .isEqualTo(Parameter.DEADLINE.max());
    assertThat(policy(table, "many.example", "/").value(Parameter.CONNECTION_LIMIT))
        .isEqualTo(Parameter.CONNECTION_LIMIT.max());
  }
}
