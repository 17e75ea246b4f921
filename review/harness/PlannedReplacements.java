import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Replaces three machines of the core one after the other, as planned work: each successor starts
 * before the machine that it replaces is stopped, and its seeds are three machines that don't lead.
 */
final class PlannedReplacements {
  private static final int REPLICAS = 5;
  private static final int SEEDS = 3;
  private static final int LAST = 8;
  private static final int MAX_RESTARTS = 6;
  private static final long CATCH_UP_MS = 4_000;
  private static final long STABLE_MS = 5_000;
  private static final long MARGIN_MS = 500;
  private static final long GRACE_MS = 6_000;
  private static final long BETWEEN_MS = 8_000;
  private static final long RECOVERY_MS = 15_000;
  private static final long CALL_LIMIT_MS = 15_000;

  private PlannedReplacements() {}

  public static void main(String[] arguments) throws IOException {
    Case.main(arguments, PlannedReplacements::run);
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
    put(operator, 1);
    int leader = restartUntilNoSeedLeads(deployment, operator, record);
    List<Integer> running = new ArrayList<>(IntStream.rangeClosed(1, REPLICAS).boxed().toList());
    if (trouble) {
      for (int successor = REPLICAS + 1; successor <= LAST; successor++) {
        replace(deployment, running, leader, successor);
        operator.use(running.stream().map(deployment::address).toList());
        if (successor == REPLICAS + 1) {
          put(operator, 2);
        }
      }
    } else {
      put(operator, 2);
    }
    Thread.sleep(RECOVERY_MS);
    Optional<HttpCall> read = operator.call("GET", "/v1/config", "", CALL_LIMIT_MS);
    for (int machine = 1; machine <= LAST; machine++) {
      deployment
          .logLines("control-" + machine, "membership-changed")
          .forEach(each -> record.line("%s", each));
    }
    return read.filter(each -> each.body().contains("\"version\":2,")).isPresent()
        ? Optional.empty()
        : Optional.of("version 2 was acknowledged and can't be read");
  }

  /**
   * Starts a successor, and stops a machine that does not lead once the successor has caught up.
   */
  private static void replace(
      Deployment deployment, List<Integer> running, int leader, int successor)
      throws IOException, InterruptedException {
    List<Integer> followers = running.stream().filter(each -> each != leader).toList();
    deployment.useSeeds(followers.subList(0, SEEDS));
    deployment.start("control", successor, false);
    Thread.sleep(CATCH_UP_MS + MARGIN_MS);
    Integer leaving = followers.getFirst();
    String name = "control-" + leaving;
    deployment.signal(name, "TERM");
    deployment.awaitEnd(name, GRACE_MS);
    running.remove(leaving);
    running.add(successor);
    Thread.sleep(BETWEEN_MS);
  }

  /** Restarts the leader, as planned work does, until none of the seeds leads. */
  private static int restartUntilNoSeedLeads(
      Deployment deployment, Operator operator, Record record)
      throws IOException, InterruptedException {
    for (int round = 0; round < MAX_RESTARTS; round++) {
      Optional<Integer> leader = leader(deployment);
      record.line("leader: %s", leader);
      if (leader.filter(each -> each > SEEDS).isPresent()) {
        return leader.get();
      }
      if (leader.isPresent()) {
        String name = "control-" + leader.get();
        deployment.signal(name, "TERM");
        deployment.awaitEnd(name, GRACE_MS);
        deployment.start("control", leader.get(), false);
      }
      Thread.sleep(STABLE_MS);
    }
    throw new IOException("one of the seeds leads after %d restarts".formatted(MAX_RESTARTS));
  }

  /** Returns the machine that answers a read itself, as only the leader does. */
  private static Optional<Integer> leader(Deployment deployment) {
    return IntStream.rangeClosed(1, REPLICAS)
        .filter(each -> answersItself(deployment, each))
        .boxed()
        .findFirst();
  }

  private static boolean answersItself(Deployment deployment, int machine) {
    try {
      String host = deployment.address(machine);
      return HttpCall.send(host, deployment.controlPort(), "GET", "/v1/config", "", "", 1_000)
              .status()
          == 200;
    } catch (IOException unreachable) {
      return false;
    }
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
