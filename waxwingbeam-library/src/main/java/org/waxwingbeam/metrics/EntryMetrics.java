package org.waxwingbeam.metrics;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.RouteName;

/**
 * Metrics of the requests that an entry instance handles.
 *
 * @since 0.1.0
 */
public final class EntryMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final Counter requests;
  private final Counter truncatedResponses;
  private final Counter callersGone;
  private final Counter statusChecks;
  private final Counter targetNotices;
  private final Histogram durations;
  private final Map<ErrorKind, CounterDataPoint> refusals;
  private final Map<RetryReason, CounterDataPoint> retries;
  private final Map<RetryReason, CounterDataPoint> deniedRetries;

  /** Registers the metrics; counters labelled by an enum expose every label from the start. */
  public EntryMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("waxwingbeam_entry_requests")
            .help("Requests whose head has arrived.")
            .register(registry);
    truncatedResponses =
        Counter.builder()
            .name("waxwingbeam_entry_answers_cut")
            .help("Answers that ended before they were whole; the caller's connection was reset.")
            .register(registry);
    callersGone =
        Counter.builder()
            .name("waxwingbeam_entry_callers_gone")
            .help("Requests whose caller left before the answer was whole.")
            .register(registry);
    statusChecks =
        counter(registry, "status_checks", "Status checks of targets by what they found.", "found");
    targetNotices =
        counter(
            registry,
            "target_notices",
            "Responses in which a target stated that it leaves or wants no requests for a while.",
            "kind");
    durations =
        Histogram.builder()
            .name("waxwingbeam_entry_request_duration_seconds")
            .help("Time from a request's arrival to the end of its answer, by route and result.")
            .classicOnly()
            .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 1.5, 2.5, 5)
            .labelNames("route", "result")
            .register(registry);
    refusals =
        dataPoints(
            counter(registry, "refusals", "Answers of the system itself by error kind.", "kind"),
            ErrorKind.class,
            ErrorKind::code);
    retries =
        dataPoints(
            counter(registry, "retries", "Requests that were sent to a further target.", "reason"),
            RetryReason.class,
            RetryReason::code);
    deniedRetries =
        dataPoints(
            counter(registry, "retries_denied", "Retries that the budget denied.", "reason"),
            RetryReason.class,
            RetryReason::code);
  }

  private static Counter counter(
      PrometheusRegistry registry, String name, String help, String label) {
    return Counter.builder()
        .name("waxwingbeam_entry_" + name)
        .help(help)
        .labelNames(label)
        .register(registry);
  }

  private static <E extends Enum<E>> Map<E, CounterDataPoint> dataPoints(
      Counter counter, Class<E> type, Function<E, String> code) {
    Map<E, CounterDataPoint> points = new EnumMap<>(type);
    Arrays.stream(type.getEnumConstants())
        .forEach(each -> points.put(each, counter.labelValues(code.apply(each))));
    return points;
  }

  /** Counts a request whose head has been received. */
  public void onRequest() {
    requests.inc();
  }

  /**
   * Records the duration of a request at its end.
   *
   * @param route the route
   * @param result how the request ended
   * @param nanos time since the request arrived
   */
  public void onRequestEnded(RouteName route, String result, long nanos) {
    durations.labelValues(route.value(), result).observe(nanos / NANOS_PER_SECOND);
  }

  /** Counts a request that the system refused with a response of its own. */
  public void onRefusal(ErrorKind kind) {
    refusals.get(kind).inc();
  }

  /** Counts a retry of a request at another target. */
  public void onRetry(RetryReason reason) {
    retries.get(reason).inc();
  }

  /** Counts a retry that was denied by the retry budget. */
  public void onDeniedRetry(RetryReason reason) {
    deniedRetries.get(reason).inc();
  }

  /** Counts a response that ended before it was complete. */
  public void onTruncatedResponse() {
    truncatedResponses.inc();
  }

  /** Counts a response in which a target has stated that it leaves or rests. */
  public void onTargetNotice(String kind) {
    targetNotices.labelValues(kind).inc();
  }

  /**
   * Counts a status check.
   *
   * @param found the finding, one of a fixed set of label values
   */
  public void onStatusCheck(String found) {
    statusChecks.labelValues(found).inc();
  }

  /** Counts a request whose caller disconnected before the response was complete. */
  public void onCallerGone() {
    callersGone.inc();
  }
}
