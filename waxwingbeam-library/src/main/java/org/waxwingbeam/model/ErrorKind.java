package org.waxwingbeam.model;

import java.util.Locale;

/**
 * The errors with which the load balancer itself responds to a caller, instead of passing on a
 * target's response.
 *
 * <p>The table of errors in {@code docs/ERRORS.md} is generated from this enum.
 *
 * <pre>{@code
 * ErrorKind kind = ErrorKind.OVERLOADED;
 * response.setStatus(kind.status());
 * response.headers().set("waxwingbeam-error", kind.code());
 * response.headers().set("waxwingbeam-run", kind.run().code());
 * }</pre>
 *
 * @since 0.1.0
 */
public enum ErrorKind {
  /** The request is not well-formed HTTP/1.1 or is framed ambiguously. */
  MALFORMED_REQUEST(400, Run.NO, Retry.NEVER, "the request is not well-formed HTTP/1.1"),
  /** The request's headers or body exceed a limit. */
  REQUEST_TOO_LARGE(413, Run.NO, Retry.NEVER, "the request exceeds a size limit"),
  /** The request's headers or body did not arrive in time. */
  REQUEST_TIMEOUT(408, Run.NO, Retry.LATER, "the request did not arrive in time"),
  /** The request ended early or exceeded a limit after a part of it was sent to a target. */
  REQUEST_INCOMPLETE(
      400, Run.UNKNOWN, Retry.IF_IDEMPOTENT, "the request ended before it was whole"),
  /** No template matches the host of the request, or no route matches its path. */
  NO_ROUTE(404, Run.NO, Retry.NEVER, "no template has a route for this host and path"),
  /** The host names a client account that is not configured. */
  UNKNOWN_ACCOUNT(403, Run.NO, Retry.NEVER, "the client account is not configured"),
  /** The queue of the service is full, or the request would not start before its deadline. */
  OVERLOADED(503, Run.NO, Retry.LATER, "the service has no capacity left"),
  /** The service has no target to which the request may be sent. */
  NO_TARGET(503, Run.NO, Retry.LATER, "the service has no usable target"),
  /** The entry instance is shutting down. */
  SHUTTING_DOWN(503, Run.NO, Retry.ELSEWHERE, "this entry instance is shutting down"),
  /** The lease of the entry instance has expired and it is in a minority. */
  ISOLATED(503, Run.NO, Retry.ELSEWHERE, "this entry instance is cut off from the others"),
  /** The data centre of the entry instance is out of service. */
  DATA_CENTRE_OUT(503, Run.NO, Retry.ELSEWHERE, "this data centre is out of service"),
  /** The deadline passed before the request was sent to a target. */
  DEADLINE_BEFORE_START(504, Run.NO, Retry.LATER, "the deadline passed before the request ran"),
  /** Every target that was tried refused the request without running it. */
  TARGETS_REFUSED(503, Run.NO, Retry.LATER, "the targets refused the request unrun"),
  /** No connection to a target could be opened. */
  CONNECT_FAILED(502, Run.NO, Retry.LATER, "no connection to a target could be opened"),
  /** The request needs an idempotency claim and the control quorum did not grant one. */
  NO_CLAIM(503, Run.NO, Retry.LATER, "the idempotency key could not be claimed"),
  /** The idempotency key was used before for another request. */
  KEY_REUSED(422, Run.NO, Retry.NEVER, "the idempotency key belongs to another request"),
  /** The request with this idempotency key is running now. */
  ALREADY_RUNNING(409, Run.UNKNOWN, Retry.LATER, "the request with this key is running"),
  /** The request with this idempotency key ran and its response was not recorded. */
  ALREADY_RUN(409, Run.UNKNOWN, Retry.NEVER, "the request with this key already ran"),
  /** The request with this idempotency key may have run; its outcome was lost. */
  OUTCOME_UNKNOWN(409, Run.UNKNOWN, Retry.NEVER, "the outcome for this key is not known"),
  /** The request has crashed targets and is refused for the retention time. */
  POISON_REQUEST(422, Run.NO, Retry.NEVER, "this request has crashed targets"),
  /** The deadline passed after the request was sent to a target. */
  DEADLINE_EXCEEDED(504, Run.UNKNOWN, Retry.IF_IDEMPOTENT, "the deadline passed"),
  /** The connection to the target was lost before the complete response had arrived. */
  TARGET_LOST(502, Run.UNKNOWN, Retry.IF_IDEMPOTENT, "the target ended the exchange early"),
  /** The target's response is not well-formed HTTP/1.1 or must not reach the caller. */
  MALFORMED_ANSWER(502, Run.UNKNOWN, Retry.IF_IDEMPOTENT, "the target's answer is malformed"),
  /** An internal error of the load balancer. */
  INTERNAL(500, Run.UNKNOWN, Retry.IF_IDEMPOTENT, "internal error");

  private final int status;
  private final Run run;
  private final Retry retryAdvice;
  private final String description;

  ErrorKind(int status, Run run, Retry retry, String description) {
    this.status = status;
    this.run = run;
    this.retryAdvice = retry;
    this.description = description;
  }

  /** Returns the name shown to callers and in metrics, such as {@code no-target}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns whether a target may have run the request. */
  public Run run() {
    return run;
  }

  /** Returns when the caller may retry the request. */
  public Retry retryAdvice() {
    return retryAdvice;
  }

  /** Returns the text in the body of the response. */
  public String description() {
    return description;
  }

  /** Whether a target may have run the request. */
  public enum Run {
    /** The request has not run. */
    NO,
    /** The request may have run. */
    UNKNOWN;

    /** Returns the value of the {@code waxwingbeam-run} header. */
    public String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** When a caller may retry a refused request. */
  public enum Retry {
    /** Not unless the request is changed. */
    NEVER,
    /** After the delay in {@code Retry-After}. */
    LATER,
    /** At once, on a new connection. */
    ELSEWHERE,
    /** Only if the request is idempotent. */
    IF_IDEMPOTENT;

    /** Returns the value of the {@code waxwingbeam-retry} header. */
    public String code() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }
}
