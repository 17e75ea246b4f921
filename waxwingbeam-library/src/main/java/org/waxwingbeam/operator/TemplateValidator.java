package org.waxwingbeam.operator;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.Template;

/** Validates templates against the current configuration. */
final class TemplateValidator {
  private static final String PLACEHOLDER = "{account}";
  private static final int MAX_HOST_LENGTH = 253;
  private static final int MAX_PATH_LENGTH = 1_024;
  private static final int MAX_ROUTES = 256;
  private static final Pattern HOST = Pattern.compile("(\\{account}|[a-z0-9.-])+");
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
  private static final Pattern LITERAL = Pattern.compile("[A-Za-z0-9._~!$&'()+,;=:@%-]+");

  private TemplateValidator() {}

  /** Returns all faults of a template, or an empty list if it is valid. */
  static List<Fault> faults(Configuration configuration, Template template) {
    String subject = "template '%s'".formatted(template.name());
    return Stream.of(
            hostFaults(subject, template.hostPattern()),
            sharedHostFaults(subject, configuration, template),
            routeCountFaults(subject, template),
            template.routes().stream().flatMap(rule -> routeFaults(subject, rule)),
            duplicateFaults(subject, template),
            ChangeValidator.parameterFaults(subject, template.parameters()).stream())
        .flatMap(faults -> faults)
        .toList();
  }

  private static Stream<Fault> hostFaults(String subject, String pattern) {
    int first = pattern.indexOf(PLACEHOLDER);
    boolean hasOnePlaceholder = first >= 0 && first == pattern.lastIndexOf(PLACEHOLDER);
    boolean isWellFormed = HOST.matcher(pattern).matches() && pattern.length() <= MAX_HOST_LENGTH;
    if (hasOnePlaceholder && isWellFormed) {
      return Stream.empty();
    }
    return Stream.of(
        new Fault(
            subject + " host pattern",
            pattern,
            "a lower-case host name of at most %d characters with %s in it once"
                .formatted(MAX_HOST_LENGTH, PLACEHOLDER)));
  }

  private static Stream<Fault> sharedHostFaults(
      String subject, Configuration configuration, Template template) {
    return configuration.templates().values().stream()
        .filter(other -> !other.name().equals(template.name()))
        .filter(other -> other.hostPattern().equals(template.hostPattern()))
        .map(
            other ->
                new Fault(
                    subject + " host pattern",
                    template.hostPattern(),
                    "one that no other template has; template '%s' has it"
                        .formatted(other.name())));
  }

  private static Stream<Fault> routeCountFaults(String subject, Template template) {
    int count = template.routes().size();
    if (count >= 1 && count <= MAX_ROUTES) {
      return Stream.empty();
    }
    return Stream.of(
        new Fault(subject + " number of routes", "" + count, "1 to %d".formatted(MAX_ROUTES)));
  }

  private static Stream<Fault> routeFaults(String subject, RouteRule rule) {
    String route = "%s route '%s'".formatted(subject, rule.name());
    Stream<Fault> method =
        rule.method().stream()
            .filter(word -> !METHOD.matcher(word).matches())
            .map(word -> new Fault(route + " method", word, "an HTTP method in upper case"));
    return Stream.concat(method, pathFaults(route, rule.pathPattern()));
  }

  private static Stream<Fault> pathFaults(String route, String pattern) {
    if (isPathPattern(pattern)) {
      return Stream.empty();
    }
    return Stream.of(
        new Fault(
            route + " path pattern",
            pattern,
            "a path such as /pages/* or /files/**, where * stands for one segment and"
                + " a final ** for the rest"));
  }

  private static boolean isPathPattern(String pattern) {
    if (!pattern.startsWith("/") || pattern.length() > MAX_PATH_LENGTH) {
      return false;
    }
    if (pattern.equals("/")) {
      return true;
    }
    List<String> segments = List.of(pattern.substring(1).split("/", -1));
    List<String> inner = segments.subList(0, segments.size() - 1);
    String last = segments.getLast();
    return inner.stream().allMatch(TemplateValidator::isSegment)
        && (last.equals("**") || last.isEmpty() || isSegment(last));
  }

  private static boolean isSegment(String segment) {
    return segment.equals("*") || LITERAL.matcher(segment).matches();
  }

  private static Stream<Fault> duplicateFaults(String subject, Template template) {
    Stream<Fault> names =
        Duplicates.of(template.routes().stream().map(RouteRule::name)).stream()
            .map(name -> new Fault(subject + " route", name.toString(), "each name at most once"));
    Stream<Fault> matches =
        Duplicates.of(template.routes().stream().map(TemplateValidator::match)).stream()
            .map(match -> new Fault(subject + " routes for", match, "one route only"));
    return Stream.concat(names, matches);
  }

  private static String match(RouteRule rule) {
    return rule.method().orElse("any method") + " " + rule.pathPattern();
  }
}
