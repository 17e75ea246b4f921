package org.waxwingbeam.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.Template;

/**
 * Finds the client account and route of a request. A classifier is compiled once for each
 * configuration, so that classifying a request takes one look-up by host.
 *
 * <pre>{@code
 * RequestClassifier classifier = new RequestClassifier(configuration);
 * switch (classifier.classify("GET", "bar-one.stock.example", "/speed/grades")) {
 *   case Classification.Accepted accepted -> serve(accepted.policy());
 *   case Classification.Refused refused -> sendError(refused.kind());
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RequestClassifier {
  private static final String ACCOUNT_PLACEHOLDER = "{account}";

  private final long number;
  private final Map<String, List<CompiledRoute>> routesByHost = new HashMap<>();
  private final List<HostPattern> hostPatterns = new ArrayList<>();

  /** Compiles a configuration. */
  public RequestClassifier(Configuration configuration) {
    number = configuration.number();
    configuration.templates().values().forEach(each -> hostPatterns.add(HostPattern.of(each)));
    configuration
        .accounts()
        .values()
        .forEach(account -> account.terms().forEach(terms -> add(configuration, account, terms)));
  }

  private void add(Configuration configuration, Account account, AccountTerms terms) {
    Optional.ofNullable(configuration.templates().get(terms.template()))
        .ifPresent(template -> add(template, account, terms));
  }

  private void add(Template template, Account account, AccountTerms terms) {
    String pattern = template.hostPattern().toLowerCase(Locale.ROOT);
    String host = pattern.replace(ACCOUNT_PLACEHOLDER, account.name().value());
    Parameters parameters = template.parameters().overriddenBy(terms.parameters());
    List<CompiledRoute> routes = routesByHost.computeIfAbsent(host, key -> new ArrayList<>());
    template.routes().stream()
        .map(rule -> CompiledRoute.of(rule, policy(template, account, rule, parameters)))
        .forEach(routes::add);
  }

  private static RoutePolicy policy(
      Template template, Account account, RouteRule rule, Parameters parameters) {
    return new RoutePolicy(
        template.name(),
        template.service(),
        account.name(),
        rule.name(),
        rule.idempotent(),
        rule.transfer(),
        parameters);
  }

  /** Returns the number of the configuration from which this classifier was compiled. */
  public long number() {
    return number;
  }

  /**
   * Finds the route of a request.
   *
   * @param method the HTTP method
   * @param host the {@code Host} header, with or without a port
   * @param uri the request target: an absolute path with an optional query
   */
  public Classification classify(String method, String host, String uri) {
    Optional<String> path = RequestPath.normalized(uri);
    if (path.isEmpty()) {
      return new Classification.Refused(ErrorKind.MALFORMED_REQUEST);
    }
    String name = withoutPort(host).toLowerCase(Locale.ROOT);
    List<CompiledRoute> routes = routesByHost.get(name);
    if (routes == null) {
      return new Classification.Refused(kindForUnknownHost(name));
    }
    String[] segments = PathPattern.split(path.get());
    for (CompiledRoute route : routes) {
      if (route.matches(method, segments)) {
        return route.accepted();
      }
    }
    return new Classification.Refused(ErrorKind.NO_ROUTE);
  }

  private ErrorKind kindForUnknownHost(String host) {
    boolean known = hostPatterns.stream().anyMatch(pattern -> pattern.matches(host));
    return known ? ErrorKind.UNKNOWN_ACCOUNT : ErrorKind.NO_ROUTE;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }

  /** A route compiled for one client account. */
  private record CompiledRoute(
      Optional<String> method, PathPattern path, Classification.Accepted accepted) {
    static CompiledRoute of(RouteRule rule, RoutePolicy policy) {
      return new CompiledRoute(
          rule.method(), new PathPattern(rule.pathPattern()), new Classification.Accepted(policy));
    }

    boolean matches(String requestMethod, String[] segments) {
      return (method.isEmpty() || method.get().equals(requestMethod)) && path.matches(segments);
    }
  }

  /** The parts of a host pattern before and after the client account's name. */
  private record HostPattern(String prefix, String suffix) {
    static HostPattern of(Template template) {
      String pattern = template.hostPattern().toLowerCase(Locale.ROOT);
      int at = pattern.indexOf(ACCOUNT_PLACEHOLDER);
      return at < 0
          ? new HostPattern(pattern, "")
          : new HostPattern(
              pattern.substring(0, at), pattern.substring(at + ACCOUNT_PLACEHOLDER.length()));
    }

    boolean matches(String host) {
      return host.length() > prefix.length() + suffix.length()
          && host.startsWith(prefix)
          && host.endsWith(suffix);
    }
  }
}
