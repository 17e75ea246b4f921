package org.waxwingbeam.target;

/**
 * Paths and headers of the protocol between the system and its targets.
 *
 * @since 0.1.0
 */
public final class TargetProtocol {
  /** Path on every entry instance to which a target posts its announcement as JSON. */
  public static final String ANNOUNCEMENT_PATH = "/announcements";

  /** Request header: milliseconds left until the caller's deadline. */
  public static final String DEADLINE_HEADER = "waxwingbeam-deadline-ms";

  /** Request header: 1 for the first attempt at a request, 2 for its first retry. */
  public static final String ATTEMPT_HEADER = "waxwingbeam-attempt";

  /** Request header: identifies the request across attempts. */
  public static final String REQUEST_ID_HEADER = "waxwingbeam-request-id";

  /**
   * Response header on a 503: the target did not run the request, because it is {@code cold},
   * {@code draining} or {@code overloaded}.
   */
  public static final String REFUSED_HEADER = "waxwingbeam-refused";

  /** Response header: the target's load, as {@code in-flight=3;queued=1;slots=4}. */
  public static final String LOAD_HEADER = "waxwingbeam-load";

  private TargetProtocol() {}
}
