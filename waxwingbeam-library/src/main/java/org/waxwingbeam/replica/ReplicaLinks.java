package org.waxwingbeam.replica;

import java.util.Optional;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Tells what is known of the connections with the other replicas.
 *
 * @since 0.1.0
 */
public interface ReplicaLinks {
  /** Returns the state of the connections with a member of the log. */
  Link link(ReplicaMember member);

  /**
   * Returns how often connections were lost or failed since the start.
   *
   * @param nowNanos the current time
   */
  Failures failures(long nowNanos);

  /** The state of the connection that this replica has opened. */
  enum Outbound {
    /** There is none; the last attempt may have failed. */
    NONE,
    /** It is not established yet. */
    CONNECTING,
    /** It is established, but no hello has arrived on it. */
    OPEN,
    /** The member has sent its hello on it. */
    GREETED,
    /** Another replica has sent its hello on it: the member is not at its address any more. */
    OTHER_REPLICA
  }

  /**
   * The connections with one replica.
   *
   * @param outbound the connection that this replica has opened, on which it sends
   * @param inbound whether the other replica has opened a connection
   * @param silentMs time since anything arrived on the outbound connection, in milliseconds; empty
   *     if there is none
   */
  record Link(Outbound outbound, boolean inbound, Optional<Long> silentMs) {
    /** No connection at all. */
    public static final Link NONE = new Link(Outbound.NONE, false, Optional.empty());

    /** Returns whether a connection, whoever has opened it, is that of the member. */
    boolean isPresent() {
      return outbound == Outbound.GREETED || inbound;
    }
  }

  /**
   * Counts since the start of the process.
   *
   * @param lost number of established connections that this replica had opened and that were closed
   * @param failed number of messages whose handling threw an exception
   * @param last the last of these exceptions
   */
  record Failures(long lost, long failed, Optional<Failure> last) {
    /** Nothing was lost and nothing has failed. */
    public static final Failures NONE = new Failures(0, 0, Optional.empty());
  }

  /**
   * An exception in the handling of a message.
   *
   * @param type the name of its class, without the package
   * @param ageMs time since then, in milliseconds
   */
  record Failure(String type, long ageMs) {}
}
