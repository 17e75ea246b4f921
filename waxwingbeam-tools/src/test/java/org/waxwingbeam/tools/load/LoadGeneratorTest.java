package org.waxwingbeam.tools.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.load.LoadPlan.Arrivals;
import org.waxwingbeam.tools.load.LoadPlan.RequestKind;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;
import org.waxwingbeam.tools.standin.StandInProcess;
import org.waxwingbeam.tools.standin.TargetSpec;

/** Runs the load generator against stand-in targets. */
class LoadGeneratorTest {
  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  @Test
  void responsesAreCheckedAndCountedByDataCentre() throws Exception {
    try (StandInProcess targets =
        targets("port=0,count=2,data-centre=north,service-time=1,slots=16")) {
      LoadResult result = run(targets, "GET a.example/list?page=2", 200);
      assertThat(result.sent()).isEqualTo(200);
      assertThat(result.count(Kind.OK)).isEqualTo(200);
      assertThat(result.latenciesByDataCentre().get("north").getTotalCount()).isEqualTo(200);
    }
  }

  @Test
  void transfersAreCheckedByteForByte() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=0,slots=64")) {
      LoadResult result = run(targets, "GET a.example/tape?size=100000&chunked=1", 20);
      assertThat(result.count(Kind.OK)).isEqualTo(20);
      assertThat(result.bytes()).isEqualTo(2_000_000);
    }
  }

  @Test
  void truncatedResponsesAreNotOk() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=0,slots=64")) {
      sendControlCommand(targets, "POST /set?truncate=1");
      LoadResult result = run(targets, "GET a.example/list", 20);
      assertThat(result.count(Kind.TRUNCATED)).isEqualTo(20);
    }
  }

  @Test
  void latencyIsMeasuredFromTheDueTime() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=20,slots=1,distribution=fixed")) {
      // 100 requests/s on one slot with a service time of 20 ms: the target serves 50/s, so the
      // queue grows throughout the run.
      LoadResult result = run(targets, "GET a.example/list", 40);
      assertThat(result.count(Kind.OK)).isEqualTo(40);
      assertThat(result.latencies().getMaxValue()).isAtLeast(300_000);
    }
  }

  @Test
  void crashClosesConnectionAndTargetStopsListening() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=1,slots=4")) {
      LoadResult first = run(targets, "GET a.example/list?crash=1", 1);
      assertThat(first.count(Kind.CONNECTION_LOST)).isEqualTo(1);
      LoadResult second = run(targets, "GET a.example/list", 3);
      assertThat(second.count(Kind.CONNECT_FAILED)).isEqualTo(3);
    }
  }

  @Test
  void refusalsAreCountedByStatus() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=1,slots=4")) {
      sendControlCommand(targets, "POST /set?drain=true");
      LoadResult result = run(targets, "GET a.example/list", 5);
      assertThat(result.statuses()).containsExactly(503, 5L);
    }
  }

  @Test
  void keysAreSentOnlyWithUnsafeMethods() throws Exception {
    try (StandInProcess targets = targets("port=0,service-time=0,slots=64")) {
      ConcurrentLinkedQueue<RequestOutcome> outcomes = new ConcurrentLinkedQueue<>();
      LoadGenerator.run(
          plan(targets, List.of("GET a.example/list 1", "POST a.example/orders 1"), 50),
          outcomes::add);
      assertThat(
              outcomes.stream()
                  .map(each -> each.method() + " " + each.key().isEmpty())
                  .collect(Collectors.toSet()))
          .containsExactly("GET true", "POST false");
    }
  }

  private static StandInProcess targets(String spec) throws InterruptedException {
    return StandInProcess.start(
        new StandInProcess.Plan(TargetSpec.parse(spec), ANY_PORT, List.of(), 3_000, 1, 1));
  }

  private static LoadResult run(StandInProcess targets, String request, long count) {
    return LoadGenerator.run(plan(targets, List.of(request), count), outcome -> {});
  }

  private static void sendControlCommand(StandInProcess targets, String command) {
    String[] words = command.split(" ", -1);
    LoadPlan plan =
        plan(
            List.of(targets.controlEndpoint()),
            List.of(new RequestKind(words[0], "control", words[1], 1)),
            1);
    assertThat(LoadGenerator.run(plan, outcome -> {}).statuses()).containsExactly(200, 1L);
  }

  private static LoadPlan plan(StandInProcess targets, List<String> requests, long count) {
    return plan(
        targets.targetEndpoints(), requests.stream().map(RequestKind::parse).toList(), count);
  }

  private static LoadPlan plan(List<Endpoint> entries, List<RequestKind> requests, long count) {
    return new LoadPlan(
        entries,
        requests,
        List.of(),
        100,
        Arrivals.UNIFORM,
        60_000,
        count,
        64,
        30_000,
        true,
        10,
        1,
        1);
  }
}
