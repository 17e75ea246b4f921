package org.waxwingbeam.tools.standin;

/**
 * The names of headers that only stand-in targets and the load command use.
 *
 * @since 0.1.0
 */
public final class StandInHeaders {
  /** Request header: text that is repeated in the response body. */
  public static final String TOKEN = "check-token";

  /** Request header: makes the target that runs the request crash. */
  public static final String CRASH = "stand-in-crash";

  /** Request header: the caller's idempotency key, which the target records. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Response header: the target's data centre. */
  public static final String DATA_CENTRE = "stand-in-data-centre";

  /** Response header: the target's version. */
  public static final String VERSION = "stand-in-version";

  /** Response header: the target's port. */
  public static final String PORT = "stand-in-port";

  private StandInHeaders() {}
}
