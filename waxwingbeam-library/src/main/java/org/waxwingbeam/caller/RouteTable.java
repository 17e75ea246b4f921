package org.waxwingbeam.caller;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.wire.routing.HostRoute;
import org.waxwingbeam.wire.routing.RoutingDocument;
import org.waxwingbeam.wire.routing.ServiceTerms;
import org.waxwingbeam.wire.routing.WeightedService;

/**
 * Finds the route of a request by host and longest path prefix, and splits the requests of a route
 * among its services by weight.
 *
 * <pre>{@code
 * RouteTable table = new RouteTable(document, 0.25);
 * Classification found = table.classify("GET", "listings.example", "/tapes/7");
 * }</pre>
 *
 * <p>Not thread-safe.
 *
 * @since 0.1.0
 */
public final class RouteTable implements RequestRouter {
  /** The client account of all requests, because routing documents have no accounts. */
  public static final AccountName DEFAULT_ACCOUNT = new AccountName("common");

  private static final TemplateName TEMPLATE = new TemplateName("routes");

  /** Fraction of the response-time goal after which an idempotent request is hedged. */
  private static final double HEDGE_SHARE_OF_GOAL = 0.5;

  private final long version;
  private final Map<String, List<Route>> byHost;

  /** Creates a table without a document, which refuses every request as isolated. */
  public RouteTable() {
    this(RoutingDocument.getDefaultInstance(), 0);
  }

  /**
   * Compiles a document.
   *
   * @param document a valid document
   * @param phase start of the sequence that selects services, from 0 to 1; it differs between entry
   *     instances so that their first requests do not all go to the same service
   */
  public RouteTable(RoutingDocument document, double phase) {
    version = document.getVersion();
    Map<String, ServiceTerms> services =
        document.getServicesList().stream()
            .collect(Collectors.toMap(ServiceTerms::getName, each -> each, (one, other) -> other));
    byHost =
        document.getRoutesList().stream()
            .map(each -> new Route(each, document, services, phase))
            .collect(Collectors.groupingBy(each -> each.host));
    byHost
        .values()
        .forEach(
            routes ->
                routes.sort(Comparator.comparingInt((Route each) -> -each.pathPrefix.length())));
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public Classification classify(String method, String host, String uri) {
    if (version == 0) {
      return new Classification.Refused(ErrorKind.ISOLATED);
    }
    String path = path(uri);
    return Optional.ofNullable(byHost.get(hostName(host))).stream()
        .flatMap(List::stream)
        .filter(each -> path.startsWith(each.pathPrefix))
        .findFirst()
        .<Classification>map(each -> new Classification.Accepted(each.nextPolicy()))
        .orElseGet(() -> new Classification.Refused(ErrorKind.NO_ROUTE));
  }

  private static String path(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private static String hostName(String host) {
    if (host == null) {
      return "";
    }
    int port = host.lastIndexOf(':');
    boolean hasPort = port >= 0 && host.indexOf(']', port) < 0;
    return (hasPort ? host.substring(0, port) : host).toLowerCase(Locale.ROOT);
  }

  /** A compiled route with its weighted services. */
  private static final class Route {
    /** The fractional parts of its successive multiples are spread evenly over [0, 1). */
    private static final double GOLDEN_RATIO_FRACTION = 0.618_033_988_749_894_9;

    private final String host;
    private final String pathPrefix;
    private final List<WeightedPart> parts;
    private double position;

    private record WeightedPart(double cumulativeWeight, RoutePolicy policy) {}

    Route(
        HostRoute route,
        RoutingDocument document,
        Map<String, ServiceTerms> services,
        double phase) {
      host = route.getHost().toLowerCase(Locale.ROOT);
      pathPrefix = route.getPathPrefix();
      position = phase;
      double total = route.getServicesList().stream().mapToDouble(WeightedService::getWeight).sum();
      double[] sum = new double[1];
      parts =
          route.getServicesList().stream()
              .filter(each -> each.getWeight() > 0)
              .map(
                  each -> {
                    sum[0] += each.getWeight() / total;
                    return new WeightedPart(
                        sum[0], policy(route, document, services.get(each.getService())));
                  })
              .toList();
    }

    private static RoutePolicy policy(
        HostRoute route, RoutingDocument document, ServiceTerms service) {
      return new RoutePolicy(
          TEMPLATE,
          new ServiceName(service.getName()),
          DEFAULT_ACCOUNT,
          new RouteName(route.getName()),
          route.getIdempotent(),
          route.getTransfer(),
          parameters(route, document, service));
    }

    private static Parameters parameters(
        HostRoute route, RoutingDocument document, ServiceTerms service) {
      long hedgeMs = (long) (route.getGoalMs() * HEDGE_SHARE_OF_GOAL);
      Map<Parameter, Long> values = new EnumMap<>(Parameter.class);
      values.put(Parameter.DEADLINE, (long) route.getTimeoutMs());
      values.put(Parameter.TRANSFER_TOTAL, (long) route.getTimeoutMs());
      values.put(Parameter.SHED_RANK, (long) route.getRank());
      values.put(Parameter.MAX_ATTEMPTS, (long) route.getMaxAttempts());
      values.put(Parameter.RESPONSE_GOAL, (long) route.getGoalMs());
      values.put(Parameter.HEDGE_AFTER, route.getIdempotent() ? hedgeMs : 0L);
      values.put(Parameter.CONNECTION_LIMIT, (long) service.getConnectionLimit());
      if (document.getLimits().getBodyBytes() > 0) {
        values.put(Parameter.REQUEST_BODY_LIMIT, document.getLimits().getBodyBytes());
      }
      return withinRanges(values);
    }

    /** Returns parameters with the nearest value in range for each value. */
    private static Parameters withinRanges(Map<Parameter, Long> values) {
      Parameters parameters = Parameters.NONE;
      for (Map.Entry<Parameter, Long> each : values.entrySet()) {
        Parameter parameter = each.getKey();
        long value = Math.clamp(each.getValue(), parameter.min(), parameter.max());
        parameters = parameters.with(parameter, value);
      }
      return parameters;
    }

    RoutePolicy nextPolicy() {
      position += GOLDEN_RATIO_FRACTION;
      position -= Math.floor(position);
      double at = position;
      return parts.stream()
          .filter(each -> at < each.cumulativeWeight())
          .findFirst()
          .orElseGet(parts::getLast)
          .policy();
    }
  }
}
