import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Sends several hundred desired states with several hundred routes, and reads the last one back.
 */
final class ManyChanges {
  private static final int REPLICAS = 5;
  private static final int CHANGES = 280;
  private static final int ADDED_ROUTES = 433;
  private static final long CALL_LIMIT_MS = 20_000;
  private static final long SENDING_MS = 80_000;
  private static final long CATCH_UP_MS = 4_000;
  private static final long DOWN_MS = 900;
  private static final long RESTART_DELAY_MS = 500;
  private static final long RECOVERY_MS = 15_000;
  private static final long READ_LIMIT_MS = 10_000;
  private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

  private ManyChanges() {}

  public static void main(String[] arguments) throws IOException {
    Case.main(arguments, ManyChanges::run);
  }

  private static Optional<String> run(Deployment deployment, Record record, boolean trouble)
      throws IOException, InterruptedException {
    for (int machine = 1; machine <= REPLICAS; machine++) {
      deployment.start("control", machine, true);
    }
    List<String> replicas =
        IntStream.rangeClosed(1, REPLICAS).mapToObj(deployment::address).toList();
    Operator operator = new Operator(replicas, deployment.controlPort(), record);
    Thread.sleep(CATCH_UP_MS);
    if (operator.call("PUT", "/v1/config", document(1, 8), CALL_LIMIT_MS).isEmpty()) {
      throw new IOException("the first desired state was not accepted");
    }
    int routes = 8 + ADDED_ROUTES;
    int version = 1;
    long endMs = record.nowMs() + SENDING_MS;
    while (version < CHANGES && record.nowMs() < endMs) {
      Optional<HttpCall> response =
          operator.call("PUT", "/v1/config", document(version + 1, routes), CALL_LIMIT_MS);
      if (response.filter(each -> each.status() == 200).isEmpty()) {
        break;
      }
      version++;
      if (version % 50 == 0) {
        record.line("version %d acknowledged", version);
      }
    }
    record.line("the last acknowledged version is %d", version);
    if (trouble) {
      for (int machine = 1; machine <= REPLICAS; machine++) {
        deployment.kill("control-" + machine);
      }
      Thread.sleep(DOWN_MS);
      for (int machine = 1; machine <= REPLICAS; machine++) {
        deployment.start("control", machine, false);
      }
    }
    int ends = keepRunning(deployment, record.nowMs() + RECOVERY_MS, record);
    Optional<HttpCall> read = operator.call("GET", "/v1/config", "", READ_LIMIT_MS);
    for (int machine = 1; machine <= REPLICAS; machine++) {
      deployment
          .logLines("control-" + machine, "OutOfMemoryError")
          .forEach(each -> record.line("%s", each));
    }
    record.line("processes ended by themselves %d times", ends);
    return read.map(each -> versionOf(each.body())).orElse(0) >= version
        ? Optional.empty()
        : Optional.of("version %d was acknowledged and can't be read".formatted(version));
  }

  /** Restarts the processes that end by themselves, and returns how often one did. */
  private static int keepRunning(Deployment deployment, long endMs, Record record)
      throws IOException, InterruptedException {
    int ends = 0;
    while (record.nowMs() < endMs) {
      for (String each : deployment.ended()) {
        ends++;
        record.line("%s has ended by itself", each);
        deployment.start("control", Integer.parseInt(each.split("-")[1]), false);
      }
      Thread.sleep(RESTART_DELAY_MS);
    }
    return ends;
  }

  private static int versionOf(String document) {
    Matcher matcher = VERSION.matcher(document);
    return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
  }

  private static String document(int version, int routes) {
    return Documents.document(version, routes, "safe", 1_000 + version % 7);
  }
}
