package org.waxwingbeam.caller;

/**
 * Headers of the native protocol between callers and the load balancer.
 *
 * @since 0.1.0
 */
public final class CallerProtocol {
  /** Request header: the caller's deadline, in milliseconds after the request's arrival. */
  public static final String DEADLINE_HEADER = "waxwingbeam-deadline-ms";

  /** Request header: idempotency key of a request that must run at most once. */
  public static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

  /** Request header: the number of the caller's attempt; 2 or more marks a retry. */
  public static final String ATTEMPT_HEADER = "waxwingbeam-attempt";

  /** Response header: the code of the error kind. */
  public static final String ERROR_HEADER = "waxwingbeam-error";

  /** Response header: {@code no} if the request did not run, {@code unknown} if it may have run. */
  public static final String RUN_HEADER = "waxwingbeam-run";

  /** Response header: when the caller may send the request again. */
  public static final String RETRY_HEADER = "waxwingbeam-retry";

  /** Response header: seconds after which the caller may send the request again. */
  public static final String RETRY_AFTER_HEADER = "retry-after";

  /** Response header: the response was recorded when a request with the same key ran earlier. */
  public static final String REPLAYED_HEADER = "waxwingbeam-replayed";

  /** Maximum length of an idempotency key, in characters. */
  public static final int IDEMPOTENCY_KEY_LIMIT = 255;

  private CallerProtocol() {}
}
