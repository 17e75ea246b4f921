package org.waxwingbeam.caller.net;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.Decision;

/**
 * Logs each request that failed, missed its response-time goal, needed several attempts or was
 * refused before it had a route, and a sample of the other requests. The number of lines per second
 * is limited; the next line that is written contains the number of dropped lines.
 *
 * @since 0.1.0
 */
public final class RequestLog {
  private static final EventLog LOG = new EventLog(RequestLog.class);

  /** One out of this number of ordinary requests is logged. */
  private static final int SAMPLE_INTERVAL = 64;

  /** A tenth of the requests per second that one small instance can serve. */
  private static final int MAX_LINES_PER_SECOND = 100;

  /** Maximum length of a text from a caller in a line, in characters. */
  private static final int MAX_TEXT_LENGTH = 120;

  private static final int FIRST_STATUS_AFTER_SUCCESS = 300;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private long ordinaryRequests;
  private long droppedLines;
  private long currentSecond;
  private int linesInSecond;

  /** Creates a log. */
  public RequestLog() {}

  /**
   * The summary of an attempt.
   *
   * @param target the target, if one was assigned
   * @param basis the data on which the target was chosen
   * @param sentMs when the attempt was sent, in milliseconds after the arrival of the request
   * @param endMs when the attempt ended, in milliseconds after the arrival of the request
   * @param result the reason for which the attempt ended
   */
  record AttemptSummary(
      Optional<TargetId> target,
      Optional<Decision.SelectionBasis> basis,
      long sentMs,
      long endMs,
      String result) {
    @Override
    public String toString() {
      String where = target.map(TargetId::toString).orElse("none");
      return "%s@%d-%dms:%s%s"
          .formatted(where, sentMs, endMs, result, basis.map(each -> "(" + each + ")").orElse(""));
    }
  }

  /**
   * The summary of a finished request.
   *
   * @param requestId the id of the request
   * @param policy how the request was handled
   * @param configuration the version of the configuration by which it was routed
   * @param attempts the attempts, in the order in which they ended
   * @param result the code of the error kind, or another word for the result
   * @param targetStatus the status of the target's response that was passed on, or empty if none
   *     was
   * @param durationNanos time since the arrival of the request
   * @param leftNanos time left until the deadline
   */
  record RequestSummary(
      String requestId,
      RoutePolicy policy,
      long configuration,
      List<AttemptSummary> attempts,
      String result,
      OptionalInt targetStatus,
      long durationNanos,
      long leftNanos) {
    boolean isOrdinary() {
      return result.equals(Exchange.ANSWERED)
          && targetStatus.orElse(0) < FIRST_STATUS_AFTER_SUCCESS
          && attempts.size() == 1
          && durationNanos <= policy.value(Parameter.RESPONSE_GOAL) * NANOS_PER_MS;
    }
  }

  /**
   * A request that was refused before it had a route.
   *
   * @param requestId the id that the caller gave the request, if any
   * @param kind the error with which it was refused
   * @param method the method, if it was read
   * @param host the host that the caller named, if any
   * @param path the path, if it was read
   * @param reason what is wrong with the request, if more is known than the kind
   */
  record Refusal(
      Optional<String> requestId,
      ErrorKind kind,
      Optional<String> method,
      Optional<String> host,
      Optional<String> path,
      Optional<String> reason) {}

  /** Logs a finished request, subject to sampling and the limit on lines per second. */
  synchronized void logRequest(long nowNanos, RequestSummary summary) {
    if (summary.isOrdinary() && ordinaryRequests++ % SAMPLE_INTERVAL != 0) {
      return;
    }
    if (!acquireLine(nowNanos)) {
      return;
    }
    LOG.info(
        "request-ended",
        "request",
        summary.requestId(),
        "route",
        summary.policy().route(),
        "service",
        summary.policy().service(),
        "configuration",
        summary.configuration(),
        "idempotent",
        summary.policy().idempotent(),
        "result",
        summary.result(),
        "target_status",
        summary.targetStatus().isPresent() ? summary.targetStatus().getAsInt() : "none",
        "duration_ms",
        summary.durationNanos() / NANOS_PER_MS,
        "left_ms",
        summary.leftNanos() / NANOS_PER_MS,
        "attempts",
        summary.attempts().stream().map(AttemptSummary::toString).collect(Collectors.joining(" ")),
        "sampled",
        summary.isOrdinary() ? SAMPLE_INTERVAL : 1,
        "left_out",
        droppedLines);
    droppedLines = 0;
  }

  /** Logs a request that was refused before it had a route, subject to the limit on lines. */
  synchronized void logRefusal(long nowNanos, Refusal refusal) {
    if (!acquireLine(nowNanos)) {
      return;
    }
    LOG.info(
        "request-refused",
        "request",
        text(refusal.requestId()),
        "kind",
        refusal.kind().code(),
        "method",
        text(refusal.method()),
        "host",
        text(refusal.host()),
        "path",
        text(refusal.path()),
        "reason",
        text(refusal.reason()),
        "left_out",
        droppedLines);
    droppedLines = 0;
  }

  private static String text(Optional<String> value) {
    return value
        .map(each -> each.substring(0, Math.min(each.length(), MAX_TEXT_LENGTH)))
        .orElse("none");
  }

  /** Returns whether a line may be written now, and counts it as dropped if not. */
  private boolean acquireLine(long nowNanos) {
    long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
    linesInSecond = second == currentSecond ? linesInSecond + 1 : 1;
    currentSecond = second;
    boolean acquired = linesInSecond <= MAX_LINES_PER_SECOND;
    if (!acquired) {
      droppedLines++;
    }
    return acquired;
  }
}
