package org.waxwingbeam.tools.testing.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.waxwingbeam.wire.replica.ReplicaFrame;

/** A connection between two replicas, which keeps the order of its frames. */
final class SimulatedLink {
  private final End opener;
  private final End acceptor;
  private long stalledSinceMs = Long.MAX_VALUE;
  private long resumesMs;
  private boolean silent;

  /** One of the two ends. */
  final class End {
    private final int address;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long closesMs = Long.MAX_VALUE;
    private boolean closed;

    private record Arrival(long ms, ReplicaFrame frame) {}

    private End(int address) {
      this.address = address;
    }

    SimulatedLink link() {
      return SimulatedLink.this;
    }

    int address() {
      return address;
    }

    End peer() {
      return equals(opener) ? acceptor : opener;
    }

    boolean isOpen() {
      return !closed;
    }

    /** Sends a frame, which arrives at a time or once it may. */
    void send(long arrivalMs, ReplicaFrame frame) {
      End peer = peer();
      if (!closed && !peer.closed) {
        long last = peer.arrivals.isEmpty() ? 0 : peer.arrivals.getLast().ms();
        peer.arrivals.add(new Arrival(Math.max(arrivalMs, last), frame));
      }
    }

    /** Returns the next frame that has arrived. */
    Optional<ReplicaFrame> poll(long nowMs, LinkNetwork network) {
      boolean readable =
          !closed
              && !silent
              && nowMs >= resumesMs
              && !network.isCut(peer().address, address)
              && !arrivals.isEmpty()
              && arrivals.getFirst().ms() <= nowMs;
      return readable ? Optional.of(arrivals.removeFirst().frame()) : Optional.empty();
    }

    /** Returns whether the other side has closed the connection and every frame has been read. */
    boolean hasEnded(long nowMs, LinkNetwork network) {
      boolean told = nowMs >= closesMs && !network.isCut(peer().address, address);
      return told && (arrivals.isEmpty() || silent);
    }

    /** Closes this end; the other learns of it. */
    void close(long nowMs) {
      closed = true;
      peer().closesMs = Math.min(peer().closesMs, nowMs + LinkNetwork.STEP_MS);
    }
  }

  SimulatedLink(int openerAddress, int acceptorAddress) {
    opener = new End(openerAddress);
    acceptor = new End(acceptorAddress);
  }

  End opener() {
    return opener;
  }

  End acceptor() {
    return acceptor;
  }

  boolean isOpen() {
    return opener.isOpen() || acceptor.isOpen();
  }

  boolean joins(int address) {
    return opener.address == address || acceptor.address == address;
  }

  /** Ends the connection at both sides. */
  void reset(long nowMs) {
    silent = true;
    opener.closesMs = Math.min(opener.closesMs, nowMs);
    acceptor.closesMs = Math.min(acceptor.closesMs, nowMs);
  }

  /** Loses the end at an address without telling the other. */
  void lose(int address, long nowMs) {
    End lost = opener.address == address ? opener : acceptor;
    lost.closed = true;
    silent = true;
    stalledSinceMs = Math.min(stalledSinceMs, nowMs);
  }

  /** Follows the cuts: what waits during one arrives some time after it, or the link times out. */
  void step(long nowMs, LinkNetwork network) {
    boolean stalled =
        silent
            || network.isCut(opener.address, acceptor.address)
            || network.isCut(acceptor.address, opener.address);
    if (stalled && stalledSinceMs == Long.MAX_VALUE) {
      stalledSinceMs = nowMs;
    } else if (!stalled && stalledSinceMs != Long.MAX_VALUE) {
      resumesMs = nowMs + network.retransmissionMs(nowMs - stalledSinceMs);
      stalledSinceMs = Long.MAX_VALUE;
    }
    if (stalled && nowMs - stalledSinceMs >= LinkNetwork.LINK_TIMEOUT_MS) {
      timeOut();
    }
  }

  private void timeOut() {
    silent = true;
    opener.closed = true;
    acceptor.closed = true;
  }
}
