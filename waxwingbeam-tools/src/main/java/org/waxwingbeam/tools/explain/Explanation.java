package org.waxwingbeam.tools.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Describes what happened to one request, from the lines of the logs. */
final class Explanation {
  static final String REQUEST_ENDED = "request-ended";

  private static final Pattern ATTEMPT =
      Pattern.compile("(\\S+)@(-?\\d+)-(-?\\d+)ms:([A-Za-z_-]+)(?:\\(([^)]*)\\))?");
  private static final String NO_TARGET = "none";

  /** Events that explain failures at several processes. */
  private static final Set<String> FLEET_EVENTS =
      Set.of(
          "order",
          "move-advanced",
          "replica-leads",
          "replica-failed",
          "entry-lost",
          "replica-lost",
          "link-silent",
          "entry-leaving",
          "entry-started",
          "control-started",
          "settings-rejected");

  /** Time before the arrival of the request from which fleet events are shown. */
  private static final Duration FLEET_EVENT_PERIOD = Duration.ofSeconds(2);

  private static final double MS_PER_SECOND = 1_000;

  /** Events that say what an entry instance has learned of a target. */
  private static final Set<String> TARGET_EVENTS =
      Set.of("target-changed", "target-checked", "target-leaving", "target-resting");

  private final String requestId;
  private final List<LogLine> lines;

  /**
   * Creates an explanation.
   *
   * @param requestId the id of the request
   * @param lines the lines of all logs, in the order of their times
   */
  Explanation(String requestId, List<LogLine> lines) {
    this.requestId = requestId;
    this.lines = List.copyOf(lines);
  }

  private record Step(long atMs, String text) {
    @Override
    public String toString() {
      return "  %+5d ms  %s".formatted(atMs, text);
    }
  }

  /** Returns the lines of the description; empty if no log names the request. */
  List<String> text() {
    return lines.stream()
        .filter(each -> each.event().equals(REQUEST_ENDED))
        .filter(each -> each.value("request").equals(requestId))
        .flatMap(this::describe)
        .toList();
  }

  private Stream<String> describe(LogLine ended) {
    Instant arrival = ended.time().minusMillis(ended.number("duration_ms"));
    List<Step> steps = new ArrayList<>();
    steps.add(
        new Step(
            0,
            "arrived: route=%s service=%s idempotent=%s; %s"
                .formatted(
                    ended.value("route"),
                    ended.value("service"),
                    ended.value("idempotent"),
                    known(ended.source(), arrival, "routing", isEvent("routing-applied")))));
    addAttempts(steps, ended, arrival);
    steps.sort(Comparator.comparingLong(Step::atMs));
    steps.add(
        new Step(
            ended.number("duration_ms"),
            "ended: %s, %d ms left".formatted(ended.value("result"), ended.number("left_ms"))));
    return Stream.of(
            Stream.of("request %s at %s, %s".formatted(requestId, ended.source(), arrival)),
            steps.stream().map(Step::toString),
            fleetEvents(arrival, ended.time()))
        .flatMap(each -> each);
  }

  private void addAttempts(List<Step> steps, LogLine ended, Instant arrival) {
    Matcher attempt = ATTEMPT.matcher(ended.value("attempts"));
    while (attempt.find()) {
      long sentMs = Long.parseLong(attempt.group(2));
      long endMs = Long.parseLong(attempt.group(3));
      String target = attempt.group(1);
      if (target.equals(NO_TARGET)) {
        steps.add(new Step(endMs, "no target: " + attempt.group(4)));
      } else {
        String belief =
            known(ended.source(), arrival.plusMillis(sentMs), "target", isTargetLine(target));
        String basis = attempt.group(5) == null ? "" : " (" + attempt.group(5) + ")";
        steps.add(new Step(sentMs, "sent to %s%s; %s".formatted(target, basis, belief)));
        steps.add(new Step(endMs, "%s: %s".formatted(target, attempt.group(4))));
      }
    }
  }

  private static Predicate<LogLine> isEvent(String event) {
    return line -> line.event().equals(event);
  }

  private static Predicate<LogLine> isTargetLine(String address) {
    return line -> TARGET_EVENTS.contains(line.event()) && line.value("address").equals(address);
  }

  /** Returns the newest line of a process at a time that says what it knew. */
  private String known(String source, Instant time, String subject, Predicate<LogLine> kind) {
    return lines.stream()
        .filter(each -> each.source().equals(source) && !each.time().isAfter(time))
        .filter(kind)
        .reduce((earlier, later) -> later)
        .map(each -> "%s known for %s: %s".formatted(subject, age(each, time), each.details()))
        .orElse(subject + " unknown: no line says");
  }

  private static String age(LogLine line, Instant time) {
    double seconds = Duration.between(line.time(), time).toMillis() / MS_PER_SECOND;
    return String.format(Locale.ROOT, "%.1f s", seconds);
  }

  private Stream<String> fleetEvents(Instant arrival, Instant end) {
    List<String> events =
        lines.stream()
            .filter(each -> FLEET_EVENTS.contains(each.event()))
            .filter(each -> !each.time().isBefore(arrival.minus(FLEET_EVENT_PERIOD)))
            .filter(each -> !each.time().isAfter(end))
            .map(
                each ->
                    "  %+5d ms  %s %s %s"
                        .formatted(
                            Duration.between(arrival, each.time()).toMillis(),
                            each.source(),
                            each.event(),
                            each.details()))
            .toList();
    return events.isEmpty()
        ? Stream.empty()
        : Stream.concat(Stream.of("meanwhile, at all processes:"), events.stream());
  }
}
