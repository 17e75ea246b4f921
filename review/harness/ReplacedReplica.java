import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Replaces a machine of the core, waits until it no longer counts as lost, and takes the disks of
 * as many others as may be lost.
 */
final class ReplacedReplica {
  private static final int REPLICAS = 5;
  private static final int GONE = 5;
  private static final int SUCCESSOR = 6;
  private static final long CATCH_UP_MS = 4_000;
  private static final long MARGIN_MS = 1_500;
  private static final long SUCCESSOR_DELAY_MS = 1_000;
  private static final long DOWN_MS = 1_500;
  private static final long RECOVERY_MS = 15_000;
  private static final long CALL_LIMIT_MS = 20_000;

  private ReplacedReplica() {}

  public static void main(String[] arguments) throws IOException {
    Case.main(arguments, ReplacedReplica::run);
  }

  private static Optional<String> run(Deployment deployment, Record record, boolean trouble)
      throws IOException, InterruptedException {
    for (int machine = 1; machine <= REPLICAS; machine++) {
      deployment.start("control", machine, true);
    }
    List<String> replicas = addresses(deployment, REPLICAS);
    Operator operator = new Operator(replicas, deployment.controlPort(), record);
    Thread.sleep(2 * CATCH_UP_MS);
    put(operator, 1);
    Thread.sleep(3_000);
    deployment.kill("control-" + GONE);
    Thread.sleep(SUCCESSOR_DELAY_MS);
    deployment.start("control", SUCCESSOR, false);
    operator.use(addresses(deployment, SUCCESSOR));
    Thread.sleep(CATCH_UP_MS + MARGIN_MS);
    put(operator, 2);
    record.line("version 2 is acknowledged");
    if (trouble) {
      deployment.kill("control-1");
      deployment.kill("control-2");
      deployment.loseDisk(1);
      deployment.loseDisk(2);
      Thread.sleep(DOWN_MS);
      deployment.start("control", 1, false);
      deployment.start("control", 2, false);
    }
    Thread.sleep(RECOVERY_MS);
    Optional<HttpCall> read = operator.call("GET", "/v1/config", "", CALL_LIMIT_MS);
    for (int machine = 1; machine <= SUCCESSOR; machine++) {
      deployment
          .logLines("control-" + machine, "membership-changed")
          .forEach(each -> record.line("%s", each));
    }
    return read.filter(each -> each.body().contains("\"version\":2,")).isPresent()
        ? Optional.empty()
        : Optional.of("version 2 was acknowledged and can't be read");
  }

  private static List<String> addresses(Deployment deployment, int last) {
    return IntStream.rangeClosed(1, last).mapToObj(deployment::address).toList();
  }

  private static void put(Operator operator, int version) throws IOException, InterruptedException {
    String body = Documents.document(version, 8, "safe", 1_000);
    if (operator
        .call("PUT", "/v1/config", body, CALL_LIMIT_MS)
        .filter(each -> each.status() == 200)
        .isEmpty()) {
      throw new IOException("version %d was not accepted".formatted(version));
    }
  }
}
