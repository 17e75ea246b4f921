package org.waxwingbeam.caller;

/**
 * Names the headers of the protocol between callers and the system.
 *
 * @since 0.1.0
 */
public final class CallerProtocol {
  /** Request header: milliseconds until the caller's deadline. */
  public static final String DEADLINE_HEADER = "waxwingbeam-deadline-ms";

  /** Request header: the caller's key for a request that may run only once. */
  public static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";

  /** Request header: 2 or more says that the sender has already sent the request before. */
  public static final String ATTEMPT_HEADER = "waxwingbeam-attempt";

  /** Answer header: the code of the error kind. */
  public static final String ERROR_HEADER = "waxwingbeam-error";

  /** Answer header: whether the request has run, {@code no} or {@code unknown}. */
  public static final String RUN_HEADER = "waxwingbeam-run";

  /** Answer header: when the caller may send the request again. */
  public static final String RETRY_HEADER = "waxwingbeam-retry";

  /** Answer header: seconds after which the caller may send the request again. */
  public static final String RETRY_AFTER_HEADER = "retry-after";

  /** Answer header: the answer was kept from an earlier run of the same keyed request. */
  public static final String REPLAYED_HEADER = "waxwingbeam-replayed";

  /** Longest idempotency key, in characters. */
  public static final int IDEMPOTENCY_KEY_LIMIT = 255;

  private CallerProtocol() {}
}
