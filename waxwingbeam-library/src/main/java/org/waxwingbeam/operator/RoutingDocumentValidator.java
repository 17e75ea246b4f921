package org.waxwingbeam.operator;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.wire.routing.HostRoute;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.ServiceTerms;
import org.waxwingbeam.wire.routing.WeightedService;

/**
 * Validates routing documents before they are accepted.
 *
 * <pre>{@code
 * List<String> faults = RoutingDocumentValidator.faults(document);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RoutingDocumentValidator {
  private RoutingDocumentValidator() {}

  /** Returns one sentence for each fault of a document, or an empty list if it is valid. */
  public static List<String> faults(RoutingDocument document) {
    Set<String> services =
        document.getServicesList().stream()
            .map(ServiceTerms::getName)
            .collect(Collectors.toUnmodifiableSet());
    return Stream.concat(
            document.getServicesList().stream()
                .flatMap(each -> nameFault(() -> new ServiceName(each.getName()))),
            document.getRoutesList().stream().flatMap(each -> faults(each, services)))
        .toList();
  }

  private static Stream<String> faults(HostRoute route, Set<String> services) {
    Stream.Builder<String> faults = Stream.builder();
    nameFault(() -> new RouteName(route.getName())).forEach(faults);
    if (route.getHost().isBlank()) {
      faults.add("route '%s': expected a host, found none".formatted(route.getName()));
    }
    if (!route.getPathPrefix().startsWith("/")) {
      faults.add(
          "route '%s': path prefix '%s': expected one that begins with a slash"
              .formatted(route.getName(), route.getPathPrefix()));
    }
    if (route.getTimeoutMs() < 1) {
      faults.add(
          "route '%s': timeout %d ms: expected 1 ms or more"
              .formatted(route.getName(), route.getTimeoutMs()));
    }
    double weight = route.getServicesList().stream().mapToDouble(WeightedService::getWeight).sum();
    boolean negative =
        route.getServicesList().stream()
            .anyMatch(each -> each.getWeight() < 0 || Double.isNaN(each.getWeight()));
    if (negative || !(weight > 0) || Double.isInfinite(weight)) {
      faults.add(
          "route '%s': expected weights that add up to more than 0, found %s"
              .formatted(route.getName(), weight));
    }
    route.getServicesList().stream()
        .map(WeightedService::getService)
        .filter(each -> !services.contains(each))
        .forEach(
            each ->
                faults.add(
                    "route '%s': service '%s': expected one of the document's services"
                        .formatted(route.getName(), each)));
    return faults.build();
  }

  private static Stream<String> nameFault(Runnable creation) {
    try {
      creation.run();
      return Stream.empty();
    } catch (InvalidNameException invalid) {
      return Stream.of(invalid.getMessage());
    }
  }
}
