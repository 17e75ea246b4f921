package org.waxwingbeam.caller.net;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.waxwingbeam.caller.RoutePolicy;

/** Collects what the log and the metrics say of an exchange once it has ended. */
final class ExchangeRecord {
  private static final long NANOS_PER_MS = 1_000_000;

  private final ExchangeContext context;
  private final RoutePolicy policy;
  private final String requestId;
  private final ExchangeTimeouts timeouts;
  private final List<RequestLog.AttemptSummary> attempts = new ArrayList<>(2);
  private final long configuration;
  private OptionalInt targetStatus = OptionalInt.empty();

  ExchangeRecord(
      ExchangeContext context, RoutePolicy policy, String requestId, ExchangeTimeouts timeouts) {
    this.context = context;
    this.policy = policy;
    this.requestId = requestId;
    this.timeouts = timeouts;
    configuration = context.router().version();
  }

  /** Records the end of an attempt and its reason. */
  void onAttemptEnded(TargetAttempt attempt, String result) {
    long start = timeouts.startNanos();
    attempts.add(
        new RequestLog.AttemptSummary(
            attempt.target(),
            attempt.basis(),
            (attempt.sentNanos() - start) / NANOS_PER_MS,
            (context.clock().getAsLong() - start) / NANOS_PER_MS,
            result));
  }

  /** Records the status of the target's response that is passed on. */
  void onTargetStatus(int status) {
    targetStatus = OptionalInt.of(status);
  }

  /** Logs and counts the exchange with its result. */
  void onEnded(String result) {
    long now = context.clock().getAsLong();
    long durationNanos = now - timeouts.startNanos();
    context.metrics().onRequestEnded(policy.route(), result, durationNanos);
    context
        .requestLog()
        .logRequest(
            now,
            new RequestLog.RequestSummary(
                requestId,
                policy,
                configuration,
                List.copyOf(attempts),
                result,
                targetStatus,
                durationNanos,
                timeouts.headDeadlineNanos() - now));
  }
}
