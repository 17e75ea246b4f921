import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

/** Sends a valid and an invalid desired state on one connection, without waiting in between. */
final class PipelinedOrders {
  private static final int REPLICAS = 5;
  private static final int ROUNDS = 10;
  private static final int TIMEOUT_MS = 5_000;
  private static final long CATCH_UP_MS = 4_000;
  private static final long CALL_LIMIT_MS = 15_000;

  private PipelinedOrders() {}

  public static void main(String[] arguments) throws IOException {
    Case.main(arguments, PipelinedOrders::run);
  }

  private static Optional<String> run(Deployment deployment, Record record, boolean trouble)
      throws IOException, InterruptedException {
    for (int machine = 1; machine <= REPLICAS; machine++) {
      deployment.start("control", machine, true);
    }
    List<String> replicas =
        IntStream.rangeClosed(1, REPLICAS).mapToObj(deployment::address).toList();
    Operator operator = new Operator(replicas, deployment.controlPort(), record);
    Thread.sleep(2 * CATCH_UP_MS);
    operator
        .call("PUT", "/v1/config", valid(1), CALL_LIMIT_MS)
        .orElseThrow(() -> new IOException("version 1 was not accepted"));
    int acknowledged = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      String leader = leader(replicas, deployment.controlPort());
      List<Integer> statuses = send(leader, deployment.controlPort(), 2 * round, trouble);
      record.line(
          "at %s: valid version %d: %d, invalid version %d: %d",
          leader, 2 * round, statuses.getFirst(), 2 * round + 1, statuses.getLast());
      acknowledged += statuses.getLast() / 100 == 2 ? 1 : 0;
    }
    return acknowledged == 0
        ? Optional.empty()
        : Optional.of(
            "%d of %d invalid desired states were acknowledged".formatted(acknowledged, ROUNDS));
  }

  private static String valid(int version) {
    return Documents.document(version, 8, "safe", 1_000);
  }

  /** Returns a desired state with a route that names an unknown service. */
  private static String invalid(int version) {
    return valid(version)
        .replaceFirst("\"service\":\"" + Documents.SERVICE + "\"", "\"service\":\"unknown\"");
  }

  /** Sends a valid and an invalid desired state and returns the statuses in their order. */
  private static List<Integer> send(String host, int port, int version, boolean pipelined)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getByName(host), port)) {
      socket.setSoTimeout(TIMEOUT_MS);
      List<String> requests =
          List.of(request(host, valid(version)), request(host, invalid(version + 1)));
      List<Integer> statuses = new ArrayList<>();
      if (pipelined) {
        socket.getOutputStream().write(String.join("", requests).getBytes(UTF_8));
        statuses.add(readStatus(socket.getInputStream()));
        statuses.add(readStatus(socket.getInputStream()));
      } else {
        for (String each : requests) {
          socket.getOutputStream().write(each.getBytes(UTF_8));
          statuses.add(readStatus(socket.getInputStream()));
        }
      }
      return statuses;
    }
  }

  private static String request(String host, String body) {
    String head =
        "PUT /v1/config HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
            + "Content-Length: %d\r\n\r\n";
    return head.formatted(host, body.length()) + body;
  }

  /** Reads one response with a stated length and returns its status. */
  private static int readStatus(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("connection closed before the end of the head");
      }
      head.append((char) next);
    }
    int length =
        head.toString()
            .lines()
            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length:"))
            .mapToInt(line -> Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
            .findFirst()
            .orElse(0);
    input.readNBytes(length);
    return Integer.parseInt(head.toString().split(" ")[1]);
  }

  private static String leader(List<String> replicas, int port) throws IOException {
    for (String each : replicas) {
      if (HttpCall.send(each, port, "GET", "/v1/config", "", "", TIMEOUT_MS).status() == 200) {
        return each;
      }
    }
    throw new IOException("no replica answers a read itself");
  }
}
