package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawRequest;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Targets that write an earlier refusal once more on a kept connection. */
@Timeout(60)
class RepeatedRefusalTest {
  private static final String ID_HEADER = "waxwingbeam-request-id";
  private static final String NO_ID = "";

  @Test
  void refusalOfEarlierRequestIsNotBelievedForNextRequest() throws Exception {
    HostileTarget.Script script =
        connection -> {
          connection.readWithoutRunning();
          connection.write(refusal(NO_ID));
          connection.readAndCountRun();
          connection.write(refusal(NO_ID));
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      for (String each : List.of("first", "second", "third")) {
        assertNotRunIsTrue(target, each, outcome(caller, each));
      }
    }
  }

  @Test
  void refusalOfEarlierRequestDoesNotSendNextRequestToSecondTarget() throws Exception {
    HostileTarget.Script script =
        connection -> {
          connection.readWithoutRunning();
          connection.write(refusal(NO_ID));
          connection.readAndCountRun();
          connection.write(refusal(NO_ID));
        };
    try (HostileTarget faulty = new HostileTarget(script);
        HostileTarget healthy = healthy();
        EntryFixture entry = entry(faulty, healthy);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      for (String each : List.of("first", "second", "third")) {
        outcome(caller, each);
        assertWithMessage(each).that(faulty.runCount(each) + healthy.runCount(each)).isAtMost(1);
      }
    }
  }

  @Test
  void refusalWithoutIdIsNotBelievedAfterAnotherResponse() throws Exception {
    HostileTarget.Script script =
        connection -> {
          connection.readAndCountRun();
          connection.write(whole(NO_ID));
          connection.readAndCountRun();
          connection.write(refusal(NO_ID));
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      assertThat(outcome(caller, "first")).isEqualTo("whole");
      assertThat(outcome(caller, "second")).isEqualTo("malformed-answer unknown");
    }
  }

  @Test
  void refusalThatArrivesLateIsNotBelievedForTheRequestThatIsRunning() throws Exception {
    for (String informational : List.of("", "HTTP/1.1 100 Continue\r\n\r\n")) {
      HostileTarget.Script script =
          connection -> {
            String refusal = refusal(id(connection.readWithoutRunning()));
            connection.write(refusal);
            connection.readAndCountRun();
            connection.write(informational + refusal);
          };
      try (HostileTarget target = new HostileTarget(script);
          EntryFixture entry = entry(target);
          RawCaller caller = new RawCaller(entry.endpoint())) {
        assertThat(outcome(caller, "first")).isEqualTo("no-target no");
        assertThat(outcome(caller, "second")).isEqualTo("malformed-answer unknown");
        assertThat(target.connections()).isEqualTo(1);
      }
    }
  }

  @Test
  void refusalIsNotBelievedForRetryOfItsRequestOnTheSameConnection() throws Exception {
    assertRetriesRunOnOtherConnections(Parameters.NONE);
  }

  @Test
  void refusalIsNotBelievedForRetryThatWaitedForItsConnection() throws Exception {
    assertRetriesRunOnOtherConnections(Parameters.NONE.with(Parameter.CONNECTION_LIMIT, 1));
  }

  private static void assertRetriesRunOnOtherConnections(Parameters parameters) throws Exception {
    AtomicInteger requests = new AtomicInteger();
    HostileTarget.Script script =
        connection -> {
          boolean refused = false;
          while (connection.awaitRequest()) {
            if (refused) {
              connection.write(refusal(id(connection.readAndCountRun())));
            } else if (requests.incrementAndGet() <= 2) {
              refused = true;
              connection.write(refusal(id(connection.readWithoutRunning())));
            } else {
              connection.write(whole(id(connection.readAndCountRun())));
            }
          }
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = new EntryFixture(new SoleTargetDispatcher(target.id()), parameters);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      String outcome = outcome(caller, "first");

      assertNotRunIsTrue(target, "first", outcome);
      assertThat(target.runCount("first")).isAtMost(1);
      assertThat(outcome).isEqualTo("whole");
    }
  }

  @Test
  void refusalThatNamesTwoRequestsIsNotBelieved() throws Exception {
    for (String other : List.of("entry-1-0", "")) {
      HostileTarget.Script script =
          connection -> {
            String id = id(connection.readAndCountRun());
            String second = "\r\n%s: %s\r\nconnection".formatted(ID_HEADER, other);
            connection.write(refusal(id).replace("\r\nconnection", second));
          };
      try (HostileTarget target = new HostileTarget(script);
          EntryFixture entry = entry(target);
          RawCaller caller = new RawCaller(entry.endpoint())) {
        assertWithMessage("id %s", other)
            .that(outcome(caller, "first"))
            .isEqualTo("malformed-answer unknown");
      }
    }
  }

  @Test
  void refusalWithEmptyIdIsNotBelieved() throws Exception {
    HostileTarget.Script script =
        connection -> {
          connection.readAndCountRun();
          connection.write(refusal("x").replace(": x", ":"));
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      assertThat(outcome(caller, "first")).isEqualTo("malformed-answer unknown");
    }
  }

  @Test
  void connectionIsKeptAfterRefusalsThatNameTheirRequest() throws Exception {
    HostileTarget.Script script =
        connection -> {
          while (connection.awaitRequest()) {
            connection.write(refusal(id(connection.readWithoutRunning())));
          }
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      for (int i = 0; i < 200; i++) {
        assertThat(outcome(caller, "case-" + i)).endsWith(" no");
      }
      assertThat(target.connections()).isEqualTo(1);
    }
  }

  private static void assertNotRunIsTrue(HostileTarget target, String id, String outcome) {
    if (outcome.endsWith(" no")) {
      assertWithMessage("runs of %s, reported as %s", id, outcome)
          .that(target.runCount(id))
          .isEqualTo(0);
    }
  }

  private static String id(Optional<RawRequest> request) {
    return request.flatMap(each -> each.header(ID_HEADER)).orElse(NO_ID);
  }

  private static String refusal(String id) {
    String head = "HTTP/1.1 503 No\r\nwaxwingbeam-refused: overloaded\r\n";
    return head + idLine(id) + "connection: keep-alive\r\ncontent-length: 2\r\n\r\nno";
  }

  private static String whole(String id) {
    return "HTTP/1.1 200 OK\r\n" + idLine(id) + "content-length: 5\r\n\r\nwhole";
  }

  private static String idLine(String id) {
    return id.isEmpty() ? "" : ID_HEADER + ": " + id + "\r\n";
  }

  private static HostileTarget healthy() throws Exception {
    return new HostileTarget(
        connection -> {
          while (connection.awaitRequest()) {
            connection.write(whole(id(connection.readAndCountRun())));
          }
        });
  }

  private static EntryFixture entry(HostileTarget... targets) {
    List<TargetId> ids = List.of(targets).stream().map(HostileTarget::id).toList();
    return new EntryFixture(new RotatingDispatcher(ids), Parameters.NONE);
  }

  /** Sends a request that is not idempotent, and describes the response. */
  private static String outcome(RawCaller caller, String id) throws Exception {
    caller.send(
        "POST /orders HTTP/1.1\r\nhost: %s\r\n%s: %s\r\ncontent-length: 2\r\n\r\nhi"
            .formatted(EntryFixture.HOST, HostileTarget.CASE_HEADER, id));
    RawResponse response = caller.readResponse(false).orElseThrow();
    return response
        .header("waxwingbeam-error")
        .map(kind -> kind + " " + response.header("waxwingbeam-run").orElse("none"))
        .orElse(response.body());
  }

  /** Assigns the only target of a service to every attempt. */
  private record SoleTargetDispatcher(TargetId target) implements Dispatcher {
    @Override
    public Decision request(long nowNanos, DispatchRequest request) {
      return new Decision.Assigned(request.attemptId(), target, new VersionName("v1"));
    }

    @Override
    public List<Decision> complete(long nowNanos, Completion completion) {
      return List.of();
    }

    @Override
    public void cancel(long nowNanos, long attemptId) {}

    @Override
    public List<Decision> tick(long nowNanos) {
      return List.of();
    }
  }
}
