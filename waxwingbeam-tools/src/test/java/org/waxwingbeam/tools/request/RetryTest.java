package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Tests which requests are retried or hedged on another target. */
@Timeout(60)
class RetryTest {
  private static final String RETRIES = "waxwingbeam_entry_retries";
  private static final String REFUSAL =
      "HTTP/1.1 503 No\r\nwaxwingbeam-refused: draining\r\ncontent-length: 2\r\n\r\nno";

  @Test
  void idempotentRequestIsSentToAnotherTargetAfterConnectionLoss() throws Exception {
    try (HostileTarget dying = new HostileTarget(HostileTarget.Connection::readAndCountRun);
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(Parameters.NONE, dying, healthy)) {
      assertThat(outcome(entry, get(""))).isEqualTo("ok");
      assertThat(entry.counterValue(RETRIES, "connection-lost")).isEqualTo(1.0);
    }
  }

  @Test
  void nonIdempotentRequestIsNotSentAgainAfterConnectionLoss() throws Exception {
    try (HostileTarget dying = new HostileTarget(HostileTarget.Connection::readAndCountRun);
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(Parameters.NONE, dying, healthy)) {
      assertThat(outcome(entry, post(""))).isEqualTo("target-lost unknown");
      assertThat(healthy.connections()).isEqualTo(0);
    }
  }

  @Test
  void refusedRequestIsSentToAnotherTargetEvenIfItIsNotIdempotent() throws Exception {
    try (HostileTarget draining = refusing();
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(Parameters.NONE, draining, healthy)) {
      assertThat(outcome(entry, post(""))).isEqualTo("ok");
      assertThat(entry.counterValue(RETRIES, "refused-draining")).isEqualTo(1.0);
    }
  }

  @Test
  void requestThatEveryTargetRefusedWasNotRun() throws Exception {
    try (HostileTarget first = refusing();
        HostileTarget second = refusing();
        HostileTarget third = refusing();
        HostileTarget fourth = healthy();
        EntryFixture entry = entry(Parameters.NONE, first, second, third, fourth)) {
      assertThat(outcome(entry, post(""))).isEqualTo("targets-refused no");
      assertThat(fourth.connections()).isEqualTo(0);
    }
  }

  @Test
  void requestThatMayHaveRunIsNotReportedAsNotRunAfterLaterRefusal() throws Exception {
    try (HostileTarget dying = new HostileTarget(HostileTarget.Connection::readAndCountRun);
        HostileTarget draining = refusing();
        EntryFixture entry = entry(Parameters.NONE, dying, draining)) {
      assertThat(outcome(entry, get(""))).isEqualTo("target-lost unknown");
    }
  }

  @Test
  void targetThatCannotBeReachedCountsAsNotRun() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      closedPort = socket.getLocalPort();
    }
    TargetId closed = new TargetId("127.0.0.1", closedPort);
    try (HostileTarget healthy = healthy();
        EntryFixture both =
            new EntryFixture(
                new RotatingDispatcher(List.of(closed, healthy.id())), Parameters.NONE);
        EntryFixture alone =
            new EntryFixture(new RotatingDispatcher(List.of(closed)), Parameters.NONE)) {
      assertThat(outcome(both, post(""))).isEqualTo("ok");
      assertThat(outcome(alone, post(""))).isEqualTo("no-target no");
    }
  }

  @Test
  void requestMarkedAsRetryIsNotSentAgain() throws Exception {
    try (HostileTarget dying = new HostileTarget(HostileTarget.Connection::readAndCountRun);
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(Parameters.NONE, dying, healthy)) {
      assertThat(outcome(entry, get("waxwingbeam-attempt: 2\r\n")))
          .isEqualTo("target-lost unknown");
      assertThat(healthy.connections()).isEqualTo(0);
    }
  }

  @Test
  void retriesEndWithTheirBudget() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.RETRY_BUDGET, 0);
    try (HostileTarget refusing = refusing();
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(parameters, refusing, healthy)) {
      int succeeded = 0;
      for (int i = 0; i < 60; i++) {
        succeeded += outcome(entry, get("")).equals("ok") ? 1 : 0;
      }

      assertThat(entry.counterValue(RETRIES, "refused-draining")).isEqualTo(20.0);
      assertThat(entry.counterValue("waxwingbeam_entry_retries_denied", "refused-draining"))
          .isEqualTo(60.0 - succeeded);
    }
  }

  @Test
  void slowRequestIsHedgedAndTheLoserCancelled() throws Exception {
    CountDownLatch cancelled = new CountDownLatch(1);
    HostileTarget.Script slow =
        connection -> {
          connection.readAndCountRun();
          connection.readAndCountRun();
          cancelled.countDown();
        };
    Parameters parameters = Parameters.NONE.with(Parameter.HEDGE_AFTER, 30);
    try (HostileTarget first = new HostileTarget(slow);
        HostileTarget second = healthy();
        EntryFixture entry = entry(parameters, first, second)) {
      assertThat(outcome(entry, get(""))).isEqualTo("ok");
      cancelled.await();
      assertThat(entry.counterValue(RETRIES, "hedge")).isEqualTo(1.0);
    }
  }

  @Test
  void requestThatIsNotIdempotentIsNotHedged() throws Exception {
    HostileTarget.Script slow =
        connection -> {
          connection.readAndCountRun();
          Thread.sleep(150);
          connection.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow");
        };
    Parameters parameters = Parameters.NONE.with(Parameter.HEDGE_AFTER, 30);
    try (HostileTarget first = new HostileTarget(slow);
        HostileTarget second = healthy();
        EntryFixture entry = entry(parameters, first, second)) {
      assertThat(outcome(entry, post(""))).isEqualTo("slow");
      assertThat(second.connections()).isEqualTo(0);
    }
  }

  @Test
  void deadlineOfTheCallerIsPassedOnAndEnforced() throws Exception {
    AtomicInteger remainingMs = new AtomicInteger();
    HostileTarget.Script silent =
        connection -> {
          connection
              .readAndCountRun()
              .flatMap(request -> request.header("waxwingbeam-deadline-ms"))
              .ifPresent(text -> remainingMs.set(Integer.parseInt(text)));
          connection.readAndCountRun();
        };
    try (HostileTarget target = new HostileTarget(silent);
        EntryFixture entry = entry(Parameters.NONE, target)) {
      assertThat(outcome(entry, get("waxwingbeam-deadline-ms: 80\r\n")))
          .isEqualTo("deadline-exceeded unknown");
      assertThat(remainingMs.get()).isAtMost(80);
      assertThat(remainingMs.get()).isAtLeast(1);
      assertThat(outcome(entry, get("waxwingbeam-deadline-ms: 0\r\n")))
          .isEqualTo("deadline-before-start no");
    }
  }

  @Test
  void callerThatDisconnectsCancelsTheExchange() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch cancelled = new CountDownLatch(1);
    HostileTarget.Script silent =
        connection -> {
          connection.readAndCountRun();
          arrived.countDown();
          connection.readAndCountRun();
          cancelled.countDown();
        };
    try (HostileTarget target = new HostileTarget(silent);
        EntryFixture entry = entry(Parameters.NONE, target)) {
      try (RawCaller caller = new RawCaller(entry.endpoint())) {
        caller.send(post(""));
        arrived.await();
      }
      cancelled.await();
    }
  }

  @Test
  void keptConnectionThatTheTargetClosesIsReplacedForIdempotentRequestsOnly() throws Exception {
    HostileTarget.Script closing =
        connection -> {
          connection.readAndCountRun();
          connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
          // The connection dies as the next request arrives.
          connection.awaitRequest();
          connection.reset();
        };
    try (HostileTarget first = new HostileTarget(closing);
        HostileTarget second = healthy();
        EntryFixture entry = entry(Parameters.NONE, first, second, second);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      for (int i = 0; i < 4; i++) {
        caller.send(get(""));
        assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("ok");
      }
      assertThat(entry.counterValue(RETRIES, "stale-connection")).isEqualTo(1.0);
    }
  }

  private static HostileTarget healthy() throws IOException {
    return new HostileTarget(
        connection -> {
          while (connection.readAndCountRun().isPresent()) {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
          }
        });
  }

  private static HostileTarget refusing() throws IOException {
    return new HostileTarget(
        connection -> {
          while (connection.readWithoutRunning().isPresent()) {
            connection.write(REFUSAL);
          }
        });
  }

  private static EntryFixture entry(Parameters parameters, HostileTarget... targets) {
    List<TargetId> ids = List.of(targets).stream().map(HostileTarget::id).toList();
    return new EntryFixture(new RotatingDispatcher(ids), parameters);
  }

  private static String outcome(EntryFixture entry, String request) throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request);
      RawResponse response = caller.readResponse(false).orElseThrow();
      return response
          .header("waxwingbeam-error")
          .map(kind -> kind + " " + response.header("waxwingbeam-run").orElse("none"))
          .orElse(response.body());
    }
  }

  private static String get(String headers) {
    return "GET /listings/one HTTP/1.1\r\nhost: alpha.orders.example\r\n" + headers + "\r\n";
  }

  private static String post(String headers) {
    return "POST /orders HTTP/1.1\r\nhost: alpha.orders.example\r\n"
        + headers
        + "content-length: 2\r\n\r\nhi";
  }
}
