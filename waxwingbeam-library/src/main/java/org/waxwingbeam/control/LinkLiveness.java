package org.waxwingbeam.control;

/**
 * Decides whether a connection between two processes of the system still works, from what arrives
 * on it. The end that has opened it sends pulses; the other end responds to whatever it has
 * received with a pulse of its own. A connection on which nothing arrives is dead, even if the
 * operating system keeps it open.
 *
 * <pre>{@code
 * LinkLiveness liveness = new LinkLiveness(LinkLiveness.Side.OPENER, timings, nowNanos);
 * liveness.recordReceived();
 * LinkLiveness.Action due = liveness.tick(nowNanos);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class LinkLiveness {
  private static final long NANOS_PER_MS = 1_000_000;

  private final Side side;
  private final Timings timings;
  private long lastTickNanos;
  private long nextPulseNanos;
  private long silentNanos;
  private boolean receivedSincePulse;

  /** The end of a connection. */
  public enum Side {
    /** The end that has opened the connection. */
    OPENER,
    /** The end that has accepted the connection. */
    ACCEPTOR
  }

  /** What is due on a connection. */
  public enum Action {
    /** Nothing is due. */
    NONE,
    /** A pulse must be sent. */
    SEND_PULSE,
    /** The connection is dead and must be closed. */
    CLOSE
  }

  /**
   * The times of a connection.
   *
   * @param pulseIntervalNanos time between two pulses
   * @param silenceTimeoutNanos time without any received byte after which a connection is dead; at
   *     least two pulse intervals
   */
  public record Timings(long pulseIntervalNanos, long silenceTimeoutNanos) {
    private static final int PULSES_PER_CONTACT = 6;
    private static final int TIMEOUTS_PER_CONTACT = 2;

    /** Checks the times. */
    public Timings {
      if (pulseIntervalNanos <= 0 || silenceTimeoutNanos < 2 * pulseIntervalNanos) {
        throw new IllegalArgumentException(
            "silence time-out %d ns: expected at least two positive pulse intervals of %d ns"
                .formatted(silenceTimeoutNanos, pulseIntervalNanos));
      }
    }

    /**
     * Returns times by which a dead connection is replaced within a contact time.
     *
     * @param contactMs time within which two processes that can reach each other must be in
     *     contact, in milliseconds, at least 1
     */
    public static Timings ofContact(long contactMs) {
      long contactNanos = contactMs * NANOS_PER_MS;
      return new Timings(contactNanos / PULSES_PER_CONTACT, contactNanos / TIMEOUTS_PER_CONTACT);
    }
  }

  /**
   * Creates the state of a new connection.
   *
   * @param side this end of the connection
   * @param timings its times
   * @param nowNanos the current time
   */
  public LinkLiveness(Side side, Timings timings, long nowNanos) {
    this.side = side;
    this.timings = timings;
    lastTickNanos = nowNanos;
    nextPulseNanos = nowNanos + timings.pulseIntervalNanos();
  }

  /** Records that bytes were received, whether they complete a message or not. */
  public void recordReceived() {
    silentNanos = 0;
    receivedSincePulse = true;
  }

  /**
   * Returns what is due. Must be called more often than pulses are sent.
   *
   * @param nowNanos the current time
   */
  public Action tick(long nowNanos) {
    // While this process stood still, it could not receive anything.
    silentNanos += Math.min(nowNanos - lastTickNanos, timings.pulseIntervalNanos());
    lastTickNanos = nowNanos;
    if (silentNanos >= timings.silenceTimeoutNanos()) {
      return Action.CLOSE;
    }
    boolean sends = side == Side.OPENER || receivedSincePulse;
    if (!sends || nowNanos - nextPulseNanos < 0) {
      return Action.NONE;
    }
    nextPulseNanos = nowNanos + timings.pulseIntervalNanos();
    receivedSincePulse = false;
    return Action.SEND_PULSE;
  }

  /** Returns for how long nothing was received, in milliseconds. */
  public long silentMs() {
    return silentNanos / NANOS_PER_MS;
  }
}
