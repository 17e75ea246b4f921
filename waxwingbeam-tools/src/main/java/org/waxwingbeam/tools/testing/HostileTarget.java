package org.waxwingbeam.tools.testing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingbeam.model.TargetId;

/**
 * A target on a real socket whose behaviour on each connection is scripted, so that it can violate
 * the protocol in any way. It counts how often each request ran.
 *
 * <pre>{@code
 * try (HostileTarget target = new HostileTarget(connection -> {
 *       connection.readRequest();
 *       connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no");
 *       connection.reset();
 *     })) {
 *   dispatcher = new RotatingDispatcher(List.of(target.id()));
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class HostileTarget implements AutoCloseable {
  /** Request header with the id under which runs of the request are counted. */
  public static final String CASE_HEADER = "x-case";

  private static final int BACKLOG = 64;

  private final TargetId id;
  private final Script script;
  private final Map<String, AtomicInteger> runCount = new ConcurrentHashMap<>();
  private final Map<Connection, Boolean> openConnections = new ConcurrentHashMap<>();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile ServerSocket listener;
  private volatile boolean ended;

  /** Listens on a free port of the loopback address. */
  public HostileTarget(Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    id = new TargetId(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
    Thread.ofVirtual().start(this::accept);
  }

  /** Returns the address on which the target listens. */
  public TargetId id() {
    return id;
  }

  /** Returns how often the request with an id has run. */
  public int runCount(String requestCase) {
    return Optional.ofNullable(runCount.get(requestCase)).map(AtomicInteger::get).orElse(0);
  }

  /** Returns the number of accepted connections. */
  public int connections() {
    return connections.get();
  }

  /** Crashes: loses all connections and refuses new ones until {@link #restart}. */
  public void crash() throws IOException {
    listener.close();
    for (Connection connection : openConnections.keySet()) {
      connection.reset();
    }
  }

  /** Listens again on the same address after a crash. */
  public synchronized void restart() throws IOException {
    if (!ended) {
      listener = new ServerSocket(id.port(), BACKLOG, InetAddress.getLoopbackAddress());
      Thread.ofVirtual().start(this::accept);
    }
  }

  private void accept() {
    ServerSocket accepting = listener;
    while (!accepting.isClosed()) {
      try {
        Connection connection = new Connection(accepting.accept(), connections.incrementAndGet());
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Connection connection) {
    openConnections.put(connection, true);
    try (connection) {
      script.serve(connection);
    } catch (IOException | UncheckedIOException | InterruptedException disconnected) {
      // Every script allows the peer to close the connection at any time.
    } finally {
      openConnections.remove(connection);
    }
  }

  @Override
  public synchronized void close() throws IOException {
    ended = true;
    listener.close();
    for (Connection connection : openConnections.keySet()) {
      connection.close();
    }
  }

  /** Defines the behaviour of the target on one connection. */
  public interface Script {
    /** Serves the connection, which is closed afterwards. */
    void serve(Connection connection) throws IOException, InterruptedException;
  }

  /** One connection to the target. */
  public final class Connection implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private final int number;

    Connection(Socket socket, int number) throws IOException {
      this.socket = socket;
      this.number = number;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
      socket.setTcpNoDelay(true);
    }

    /** Returns the number of the connection, counted from 1 in the order of acceptance. */
    public int number() {
      return number;
    }

    /** Waits for the first byte of a request; returns false if the connection was closed. */
    public boolean awaitRequest() throws IOException {
      in.mark(1);
      int first = in.read();
      in.reset();
      return first >= 0;
    }

    /** Reads a request and counts it as run; empty if the connection was closed. */
    public Optional<RawRequest> readAndCountRun() throws IOException {
      Optional<RawRequest> request = RawRequest.read(in);
      request
          .flatMap(each -> each.header(CASE_HEADER))
          .ifPresent(
              id -> runCount.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet());
      return request;
    }

    /** Reads a request without counting it as run; empty if the connection was closed. */
    public Optional<RawRequest> readWithoutRunning() throws IOException {
      return RawRequest.read(in);
    }

    /** Reads and discards bytes of a request. */
    public void readBytes(int count) throws IOException {
      in.readNBytes(count);
    }

    /** Writes text, one byte for each character. */
    public void write(String text) throws IOException {
      write(text.getBytes(ISO_8859_1));
    }

    /** Writes bytes and flushes them. */
    public void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Crashes the target, see {@link HostileTarget#crash}. */
    public void crashTarget() throws IOException {
      crash();
    }

    /** Restarts the target after a crash. */
    public void restartTarget() throws IOException {
      restart();
    }

    /** Closes the connection with a TCP reset. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
