package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawRequest;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;
import org.waxwingbeam.tools.testing.TableClaimClient;

/** Tests each documented case of idempotency keys, across two entry instances. */
@Timeout(60)
class IdempotencyKeyTest {
  private static final String REFUSAL =
      "HTTP/1.1 503 No\r\nwaxwingbeam-refused: overloaded\r\ncontent-length: 0\r\n\r\n";
  private static final String ORDER = "order=wax";

  private final TableClaimClient claims = new TableClaimClient();

  @Test
  void responseIsReplayedAtAnotherEntryInstance() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture first = entry("entry-1", target, Parameters.NONE);
        EntryFixture second = entry("entry-2", target, Parameters.NONE)) {
      RawResponse ran = post(first, "k1", ORDER);
      RawResponse replayed = post(second, "k1", ORDER);

      assertThat(ran.body()).isEqualTo("taken 1");
      assertThat(replayed.body()).isEqualTo("taken 1");
      assertThat(replayed.header("waxwingbeam-replayed")).hasValue("yes");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void longResponseIsNotKeptButTheRequestRunsOnce() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.RECORDED_ANSWER_LIMIT, 3);
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture entry = entry("entry-1", target, parameters)) {
      post(entry, "k1", ORDER);

      assertThat(errorOf(post(entry, "k1", ORDER))).isEqualTo("already-run unknown");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void keyWithAnotherBodyIsRefused() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      post(entry, "k1", ORDER);

      assertThat(errorOf(post(entry, "k1", "order=more"))).isEqualTo("key-reused no");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void requestThatIsRunningIsNotRunAgain() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    HostileTarget.Script slow =
        connection -> {
          connection.readAndCountRun();
          arrived.countDown();
          release.await();
          connection.write(response("slow"));
        };
    try (HostileTarget target = new HostileTarget(slow);
        EntryFixture first = entry("entry-1", target, Parameters.NONE);
        EntryFixture second = entry("entry-2", target, Parameters.NONE);
        RawCaller caller = new RawCaller(first.endpoint())) {
      caller.send(request("k1", ORDER));
      arrived.await();
      assertThat(errorOf(post(second, "k1", ORDER))).isEqualTo("already-running unknown");
      release.countDown();

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("slow");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void outcomeIsUnknownAfterConnectionLoss() throws Exception {
    try (HostileTarget target = new HostileTarget(HostileTarget.Connection::readAndCountRun);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      assertThat(errorOf(post(entry, "k1", ORDER))).isEqualTo("target-lost unknown");

      assertThat(errorOf(post(entry, "k1", ORDER))).isEqualTo("outcome-unknown unknown");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void outcomeIsUnknownAfterCrashOfTheEntryInstance() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture second = entry("entry-2", target, Parameters.NONE)) {
      claims.loseOutcomes(true);
      try (EntryFixture first = entry("entry-1", target, Parameters.NONE)) {
        post(first, "k1", ORDER);
      }
      assertThat(errorOf(post(second, "k1", ORDER))).isEqualTo("already-running unknown");
      claims.endEntryLease("entry-1");

      assertThat(errorOf(post(second, "k1", ORDER))).isEqualTo("outcome-unknown unknown");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void requestIsNotSentWithoutClaim() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      claims.loseResponses(true);
      assertThat(errorOf(post(entry, "k1", ORDER))).isEqualTo("no-claim no");
      assertThat(target.runCount("k1")).isEqualTo(0);

      claims.loseResponses(false);
      assertThat(post(entry, "k1", ORDER).status()).isEqualTo(200);
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void refusedRequestFreesItsKey() throws Exception {
    HostileTarget.Script refuseFirst =
        connection -> {
          if (connection.number() == 1) {
            connection.readWithoutRunning();
            connection.write(REFUSAL);
          }
          serveOrders(connection);
        };
    try (HostileTarget target = new HostileTarget(refuseFirst);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      assertThat(errorOf(post(entry, "k1", ORDER))).isEqualTo("no-target no");

      assertThat(post(entry, "k1", ORDER).status()).isEqualTo(200);
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void callerThatDisconnectsGetsTheOutcomeLater() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    HostileTarget.Script slow =
        connection -> {
          connection.readAndCountRun();
          arrived.countDown();
          release.await();
          connection.write(response("done"));
        };
    try (HostileTarget target = new HostileTarget(slow);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      try (RawCaller caller = new RawCaller(entry.endpoint())) {
        caller.send(request("k1", ORDER));
        arrived.await();
      }
      release.countDown();
      while (entry.activeExchanges() > 0) {
        Thread.sleep(5);
      }

      assertThat(post(entry, "k1", ORDER).body()).isEqualTo("done");
      assertThat(target.runCount("k1")).isEqualTo(1);
    }
  }

  @Test
  void requestWithoutKeyIsSentOnceAndRunsAgainWhenSentAgain() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      String unkeyed = request("k1", ORDER).replace("idempotency-key", "x-other");
      caller.send(unkeyed + unkeyed);

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("taken 1");
      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("taken 2");
    }
  }

  @Test
  void bodyTooLongForClaimIsRefusedWithoutRun() throws Exception {
    try (HostileTarget target = new HostileTarget(IdempotencyKeyTest::serveOrders);
        EntryFixture entry = entry("entry-1", target, Parameters.NONE)) {
      RawResponse response = post(entry, "k1", "x".repeat(70_000));

      assertThat(errorOf(response)).isEqualTo("request-too-large no");
      assertThat(target.runCount("k1")).isEqualTo(0);
    }
  }

  private EntryFixture entry(String name, HostileTarget target, Parameters parameters) {
    return new EntryFixture(
        new RotatingDispatcher(List.of(target.id())),
        parameters,
        EntryFixture.ORDINARY_LIMITS,
        new EntryFixture.InstanceServices(name, claims, new PoisonRequestDetector()));
  }

  private static RawResponse post(EntryFixture entry, String key, String body) throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request(key, body));
      return caller.readResponse(false).orElseThrow();
    }
  }

  private static String request(String key, String body) {
    return String.join(
        "\r\n",
        "POST /orders HTTP/1.1",
        "host: alpha.orders.example",
        "idempotency-key: " + key,
        "x-case: " + key,
        "content-length: " + body.length(),
        "",
        body);
  }

  private static String errorOf(RawResponse response) {
    return response.header("waxwingbeam-error").orElse("none")
        + " "
        + response.header("waxwingbeam-run").orElse("none");
  }

  private static void serveOrders(HostileTarget.Connection connection) throws IOException {
    int taken = 0;
    Optional<RawRequest> request = connection.readAndCountRun();
    while (request.isPresent()) {
      taken++;
      connection.write(response("taken " + taken));
      request = connection.readAndCountRun();
    }
  }

  private static String response(String body) {
    return "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s".formatted(body.length(), body);
  }
}
