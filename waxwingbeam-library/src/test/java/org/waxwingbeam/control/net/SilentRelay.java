package org.waxwingbeam.control.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingbeam.settings.Endpoint;

/**
 * Relays connections to a process. The open ones can be made silent for good: both ends keep them
 * open and may send, but nothing is passed on any more. New ones work.
 */
public final class SilentRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 64 << 10;

  /** Directions of a connection, as seen by the process that opens it. */
  public enum Direction {
    /** From the process that opens the connection. */
    REQUESTS,
    /** To the process that opens the connection. */
    RESPONSES
  }

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Endpoint destination;
  private final List<Pump> pumps = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();

  /**
   * Starts relaying.
   *
   * @param destination the address of the process
   * @throws IOException if no port can be bound
   */
  public SilentRelay(Endpoint destination) throws IOException {
    this.destination = destination;
    Thread.ofVirtual().start(this::acceptAll);
  }

  /** Returns the address at which the relay listens. */
  public Endpoint address() {
    return new Endpoint("127.0.0.1", server.getLocalPort());
  }

  /** Returns the number of connections that were accepted so far. */
  public int acceptedCount() {
    return accepted.get();
  }

  /** Stops passing on anything in a direction of the connections that are open. */
  public void silence(Direction direction) {
    pumps.stream().filter(each -> each.direction == direction).forEach(each -> each.silent = true);
  }

  private void acceptAll() {
    try {
      while (true) {
        Socket opener = server.accept();
        accepted.incrementAndGet();
        Socket acceptor = new Socket(destination.host(), destination.port());
        new Pump(Direction.REQUESTS, opener, acceptor).start();
        new Pump(Direction.RESPONSES, acceptor, opener).start();
      }
    } catch (IOException closed) {
      // The relay was closed, or the process has ended.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Pump each : pumps) {
      each.from.close();
    }
  }

  /** Passes on one direction of a connection. */
  private final class Pump {
    private final Direction direction;
    private final Socket from;
    private final Socket to;
    private volatile boolean silent;

    Pump(Direction direction, Socket from, Socket to) {
      this.direction = direction;
      this.from = from;
      this.to = to;
    }

    void start() {
      pumps.add(this);
      Thread.ofVirtual().start(this::passOn);
    }

    private void passOn() {
      byte[] buffer = new byte[BUFFER_BYTES];
      try (from;
          to) {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          if (!silent) {
            out.write(buffer, 0, count);
          }
        }
      } catch (IOException closed) {
        // One end was closed.
      }
    }
  }
}
