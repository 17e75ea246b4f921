package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Sends malformed and ambiguous responses from a target that echoes no request id. */
@Timeout(120)
class ResponseFramingTest {
  private static final long CLOSE_LIMIT_MS = 1_000;
  private static final String GET =
      "GET /listings/one HTTP/1.1\r\nhost: alpha.orders.example\r\n\r\n";
  private static final String PLAIN =
      "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nwhole";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n";

  @Test
  void responseTruncatedAtAnyByteIsNeverTreatedAsComplete() throws Exception {
    for (String response : List.of(PLAIN, CHUNKED)) {
      for (int length = 0; length <= response.length(); length++) {
        String sent = response.substring(0, length);
        String actual = outcomeOf(connection -> connection.write(sent));
        String expected = length == response.length() ? "200 whole" : "lost";
        assertWithMessage(sent).that(actual).isEqualTo(expected);
      }
    }
  }

  @Test
  void ambiguousResponsesAreNotPassedOn() throws Exception {
    String head = "HTTP/1.1 200 OK\r\n";
    List<String> responses =
        List.of(
            head + "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            head + "content-length: 5\r\ncontent-length: 6\r\n\r\nwhole!",
            head + "content-length: five\r\n\r\nwhole",
            head + "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            head + "\r\nwhole until the connection ends",
            "HTTP/1.1 101 Switching Protocols\r\n\r\n",
            "HTTP/1.1 abc OK\r\n\r\n",
            "+OK\r\n\r\n");
    for (String response : responses) {
      assertWithMessage(response)
          .that(outcomeOf(connection -> connection.write(response)))
          .isEqualTo("502 malformed-answer");
    }
  }

  @Test
  void provisionalResponsesAreSkipped() throws Exception {
    String provisional = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n";

    assertThat(outcomeOf(connection -> connection.write(provisional + PLAIN)))
        .isEqualTo("200 whole");
  }

  @Test
  void surplusBytesAreDroppedAndEndTheConnection() throws Exception {
    for (String surplus : List.of(PLAIN.replace("whole", "other"), "x", "\r\n")) {
      HostileTarget.Script script =
          connection -> {
            while (connection.readAndCountRun().isPresent()) {
              connection.write(PLAIN + surplus);
            }
          };
      try (HostileTarget target = new HostileTarget(script);
          EntryFixture entry = entry(target);
          RawCaller caller = new RawCaller(entry.endpoint())) {
        for (int i = 0; i < 5; i++) {
          caller.send(GET);
          assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("whole");
        }
        assertWithMessage("connections").that(target.connections()).isEqualTo(5);
      }
    }
  }

  @Test
  void unsolicitedResponseEndsItsConnection() throws Exception {
    HostileTarget.Script script =
        connection -> {
          if (connection.readAndCountRun().isPresent()) {
            connection.write(PLAIN);
            Thread.sleep(50);
            connection.write(PLAIN.replace("whole", "other"));
            connection.readAndCountRun();
          }
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET);
      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("whole");
      awaitNoConnections(entry, target);
      caller.send(GET);

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("whole");
      assertThat(target.connections()).isEqualTo(2);
    }
  }

  @Test
  void responseBeforeTheCompleteRequestEndsBothConnections() throws Exception {
    CountDownLatch closedAtTarget = new CountDownLatch(1);
    HostileTarget.Script early =
        connection -> {
          connection.readBytes(20);
          connection.write("HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno");
          try {
            connection.readBytes(100_000);
          } finally {
            closedAtTarget.countDown();
          }
        };
    try (HostileTarget target = new HostileTarget(early);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(
          GET.replace("GET /listings/one", "POST /uploads/x")
              .replace("\r\n\r\n", "\r\ncontent-length: 90000\r\n\r\n"));
      caller.send("a".repeat(1_000));
      RawResponse response = caller.readResponse(false).orElseThrow();

      assertThat(response.status()).isEqualTo(413);
      assertThat(response.header("connection")).hasValue("close");
      assertThat(caller.isClosedByPeer()).isTrue();
      assertThat(closedAtTarget.await(CLOSE_LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue();
      awaitNoConnections(entry, target);
    }
  }

  /**
   * Waits until the entry counts no connection to a target. Its event loop updates the count after
   * the callbacks of the response, thus possibly after the caller has seen its connection closed.
   */
  private static void awaitNoConnections(EntryFixture entry, HostileTarget target)
      throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_LIMIT_MS);
    while (entry.connections().openConnections(target.id()) > 0 && System.nanoTime() < deadline) {
      Thread.sleep(1);
    }
    assertThat(entry.connections().openConnections(target.id())).isEqualTo(0);
  }

  /**
   * Returns what a caller gets if the target responds by a script and then closes the connection.
   */
  private static String outcomeOf(HostileTarget.Script respond) throws IOException {
    HostileTarget.Script script =
        connection -> {
          if (connection.readAndCountRun().isPresent()) {
            respond.serve(connection);
          }
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET);
      return describe(caller.readResponse(false));
    }
  }

  private static String describe(Optional<RawResponse> response) {
    Optional<String> error = response.flatMap(each -> each.header("waxwingbeam-error"));
    boolean lost = response.isEmpty() || error.equals(Optional.of("target-lost"));
    return lost ? "lost" : response.get().status() + " " + error.orElse(response.get().body());
  }

  private static EntryFixture entry(HostileTarget target) {
    return new EntryFixture(new RotatingDispatcher(List.of(target.id())), Parameters.NONE);
  }
}
