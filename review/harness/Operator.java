import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.Optional;

/**
 * A stand-in for the operator: sends each call to the control replicas in turn until it gets a
 * clear response, follows two redirects, and waits a second for a response.
 */
final class Operator {
  private static final int TIMEOUT_MS = 1_000;
  private static final int MAX_REDIRECTS = 2;
  private static final long FIRST_PAUSE_MS = 50;
  private static final long MAX_PAUSE_MS = 800;

  private final int port;
  private final Record record;
  private List<String> replicas;
  private int next;

  /**
   * Creates an operator.
   *
   * @param replicas the addresses of the control replicas
   * @param port their port
   * @param record gets a line for each response
   */
  Operator(List<String> replicas, int port, Record record) {
    this.replicas = List.copyOf(replicas);
    this.port = port;
    this.record = record;
  }

  /** Replaces the list of control replicas. */
  void use(List<String> current) {
    replicas = List.copyOf(current);
  }

  /**
   * Repeats a call until it is answered with a 2xx or 4xx status, other than 408 and 429.
   *
   * @param limitMs time after which it gives up, in milliseconds
   * @return the response, or empty if there was no clear one in time
   */
  Optional<HttpCall> call(String method, String path, String body, long limitMs)
      throws InterruptedException {
    final long startMs = record.nowMs();
    long pauseMs = FIRST_PAUSE_MS;
    while (record.nowMs() - startMs < limitMs) {
      String host = replicas.get(next++ % replicas.size());
      Optional<HttpCall> response = attempt(host, method, path, body, 0);
      if (response.filter(Operator::isClear).isPresent()) {
        return response;
      }
      Thread.sleep(pauseMs);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
    record.line("%s %s: no clear response in %d ms", method, path, limitMs);
    return Optional.empty();
  }

  private static boolean isClear(HttpCall response) {
    int status = response.status();
    return status / 100 == 2 || (status / 100 == 4 && status != 408 && status != 429);
  }

  private Optional<HttpCall> attempt(
      String host, String method, String path, String body, int redirects) {
    try {
      HttpCall response = HttpCall.send(host, port, method, path, "", body, TIMEOUT_MS);
      record.line(
          "%s %s (%d bytes) at %s: %d", method, path, body.length(), host, response.status());
      Optional<String> location = response.header("location");
      return response.status() == 307 && location.isPresent() && redirects < MAX_REDIRECTS
          ? attempt(URI.create(location.get()).getHost(), method, path, body, redirects + 1)
          : Optional.of(response);
    } catch (IOException failed) {
      record.line("%s %s at %s: %s", method, path, host, failed.getMessage());
      return Optional.empty();
    }
  }
}
