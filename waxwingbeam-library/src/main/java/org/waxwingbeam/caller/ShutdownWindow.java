package org.waxwingbeam.caller;

/**
 * Decides which requests an entry instance still accepts during its planned shutdown, so that none
 * is under way when the process ends.
 *
 * <pre>{@code
 * window.begin(listenEndNanos, endNanos);
 * if (!window.admits(nowNanos, maxDurationNanos, idempotent)) {
 *   refuse(ErrorKind.SHUTTING_DOWN);
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 *
 * @since 0.1.0
 */
public final class ShutdownWindow {
  private record Times(long listenEndNanos, long endNanos) {}

  private volatile Times times;

  /** Creates a window that has not begun: every request is accepted. */
  public ShutdownWindow() {}

  /**
   * Begins the shutdown.
   *
   * @param listenEndNanos until when new connections are accepted
   * @param endNanos when the process ends
   */
  public void begin(long listenEndNanos, long endNanos) {
    times = new Times(listenEndNanos, endNanos);
  }

  /**
   * Returns whether a request is accepted. While new connections are accepted, an idempotent one
   * always is: most are answered long before their limit, and the caller may send it again.
   *
   * @param nowNanos the current time
   * @param maxDurationNanos the longest time that the request may take
   * @param idempotent whether the request may run more than once
   */
  public boolean admits(long nowNanos, long maxDurationNanos, boolean idempotent) {
    Times current = times;
    return current == null
        || (idempotent && nowNanos - current.listenEndNanos() < 0)
        || nowNanos + maxDurationNanos - current.endNanos() <= 0;
  }
}
