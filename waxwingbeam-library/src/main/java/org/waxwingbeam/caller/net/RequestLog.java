package org.waxwingbeam.caller.net;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.Decision;

/**
 * Writes one line for each request that failed, was late or was sent more than once, and one for a
 * sample of the others. The number of lines in a second is bounded; the next line tells how many
 * were left out.
 *
 * @since 0.1.0
 */
public final class RequestLog {
  private static final EventLog LOG = new EventLog(RequestLog.class);

  /** One of this many ordinary requests is logged. */
  private static final int SAMPLE = 64;

  /** Most lines a second: a tenth of what one small instance can serve. */
  private static final int MAX_LINES_PER_SECOND = 100;

  private static final long NANOS_PER_MS = 1_000_000;
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private long ordinary;
  private long leftOut;
  private long second;
  private int linesInSecond;

  /** Creates a log. */
  public RequestLog() {}

  /**
   * Tells what became of one attempt.
   *
   * @param target where it was sent, if it was
   * @param basis what the choice of the target was based on
   * @param sentMs when it was sent, in milliseconds after the request arrived
   * @param endMs when it ended, in milliseconds after the request arrived
   * @param result how it ended
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
   * Tells what became of a request.
   *
   * @param requestId its id
   * @param terms how it was treated
   * @param attempts every attempt, in the order of their ends
   * @param result the error kind or another word for its end
   * @param durationNanos time since it arrived
   * @param leftNanos time left until its deadline
   */
  record RequestSummary(
      String requestId,
      RoutePolicy terms,
      List<AttemptSummary> attempts,
      String result,
      long durationNanos,
      long leftNanos) {
    boolean isOrdinary() {
      return result.equals(Exchange.ANSWERED)
          && attempts.size() == 1
          && durationNanos <= terms.value(Parameter.RESPONSE_GOAL) * NANOS_PER_MS;
    }
  }

  /** Notes the end of a request. */
  synchronized void logRequest(long nowNanos, RequestSummary ended) {
    if (ended.isOrdinary() && ordinary++ % SAMPLE != 0) {
      return;
    }
    long now = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
    linesInSecond = now == second ? linesInSecond + 1 : 1;
    second = now;
    if (linesInSecond > MAX_LINES_PER_SECOND) {
      leftOut++;
      return;
    }
    LOG.info(
        "request-ended",
        "request",
        ended.requestId(),
        "route",
        ended.terms().route(),
        "service",
        ended.terms().service(),
        "idempotent",
        ended.terms().idempotent(),
        "result",
        ended.result(),
        "duration_ms",
        ended.durationNanos() / NANOS_PER_MS,
        "left_ms",
        ended.leftNanos() / NANOS_PER_MS,
        "attempts",
        ended.attempts().stream().map(AttemptSummary::toString).collect(Collectors.joining(" ")),
        "sampled",
        ended.isOrdinary() ? SAMPLE : 1,
        "left_out",
        leftOut);
    leftOut = 0;
  }
}
