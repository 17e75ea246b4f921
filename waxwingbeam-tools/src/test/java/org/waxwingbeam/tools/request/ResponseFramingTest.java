package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.caller.net.ExchangeContext;
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
  void olderResponseWithTwoLengthsIsNotPassedOnWithTheFirst() throws Exception {
    assertNotPassedOn(
        List.of("HTTP/1.0 200 OK\r\ncontent-length: 5\r\ncontent-length: 12\r\n\r\nwhole answer"));
  }

  @Test
  void malformedHeadsAndChunksAreNotPassedOn() throws Exception {
    String head = "HTTP/1.1 200 OK\r\n";
    String chunked = head + "transfer-encoding: chunked\r\n\r\n";
    assertNotPassedOn(
        List.of(
            PLAIN.replace("\r", ""),
            PLAIN.replace("\r\n\r\n", "\n\r\n"),
            PLAIN.replace("\r\n\r\n", "\r\n\n"),
            PLAIN.replace("text/plain", "\0"),
            PLAIN.replace("text/plain", "a\u0001b"),
            PLAIN.replace("text/plain", "a\rb"),
            PLAIN.replace("content-type", "content\0type"),
            PLAIN.replace("content-length:", "content-length"),
            PLAIN.replace("200 OK", "OK"),
            PLAIN.replace(" 200 OK", ""),
            "x" + PLAIN,
            "\0" + PLAIN,
            head + "content-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
            head + "content-length: 5, 5\r\n\r\nwhole",
            head + "content-length: +5\r\n\r\nwhole",
            head + "content-length: -5\r\n\r\nwhole",
            head + "content-length: 1 5\r\n\r\nwhole",
            head + "content-length: \r\n\r\nwhole",
            head + "content-length: 99999999999999999999\r\n\r\nwhole",
            chunked.replace("1.1", "1.0") + "5\r\nwhole\r\n0\r\n\r\n",
            head
                + "transfer-encoding: chunked\r\n"
                + chunked.substring(head.length())
                + "0\r\n\r\n",
            "HTTP/1.1 103 Hints\r\ncontent-length: 5\r\n\r\nwhole" + PLAIN));
    for (String body :
        List.of(
            "5\nwhole\r\n0\r\n\r\n",
            "5;x\nwhole\r\n0\r\n\r\n",
            "5\r\nwholex\r\n0\r\n\r\n",
            "5\r\nwhole0\r\n\r\n",
            "\r\n5\r\nwhole\r\n0\r\n\r\n",
            "+5\r\nwhole\r\n0\r\n\r\n",
            "-5\r\nwhole\r\n0\r\n\r\n",
            "100000005\r\nwhole\r\n0\r\n\r\n")) {
      assertWithMessage(body)
          .that(outcomeOf(CloseDelimitedAdapter.protocols(), GET, chunked + body))
          .isEqualTo("502 malformed-answer");
      assertWithMessage(body)
          .that(outcomeOf(connection -> connection.write(chunked + body)))
          .isEqualTo("lost");
    }
  }

  @Test
  void responsesWithOtherTransferEncodingsAreNotPassedOn() throws Exception {
    String head = "HTTP/1.1 200 OK\r\ntransfer-encoding: ";
    assertNotPassedOn(
        List.of(
            head + "gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            head + "chunked, gzip\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            head + "xchunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            head + "gzip\r\n\r\nwhole",
            head + "identity\r\n\r\nwhole",
            head + "identity\r\ncontent-length: 5\r\n\r\nwhole"));
  }

  @Test
  void startLinesOutsideTheProtocolAreNotPassedOn() throws Exception {
    assertNotPassedOn(
        Stream.of(
                "HTTP/2.0 200 OK",
                "HTTP/9.9 200 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 020 OK",
                "HTTP/1.1 200 O\0K")
            .map(each -> PLAIN.replace("HTTP/1.1 200 OK", each))
            .toList());
    for (String startLine : List.of("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 été")) {
      String response = PLAIN.replace("HTTP/1.1 200 OK", startLine);
      assertThat(outcomeOf(connection -> connection.write(response))).isEqualTo("200 whole");
    }
  }

  @Test
  void olderResponseIsPassedOnWithTheVersionOfItsFraming() throws Exception {
    String head = "HTTP/1.0 200 OK\r\n";
    String body = "long answer ".repeat(200);
    for (String response :
        List.of(
            head + "content-length: %d\r\n\r\n%s".formatted(body.length(), body),
            head + "\r\n" + body)) {
      RawResponse received =
          exchange(CloseDelimitedAdapter.protocols(), GET, connection -> connection.write(response))
              .orElseThrow();
      assertThat(received.message().requestLine()).isEqualTo("HTTP/1.1 200 OK");
      assertThat(received.body()).isEqualTo(body);
    }
  }

  @Test
  void responseWithoutBodyGetsNoInventedLength() throws Exception {
    RawResponse toHead =
        exchange(
                CloseDelimitedAdapter.protocols(),
                GET.replace("GET", "HEAD"),
                connection -> connection.write("HTTP/1.1 200 OK\r\n\r\n"))
            .orElseThrow();
    RawResponse unchanged =
        exchange(
                CloseDelimitedAdapter.protocols(),
                GET,
                connection -> connection.write("HTTP/1.1 304 Not Modified\r\n\r\n"))
            .orElseThrow();

    assertThat(toHead.status()).isEqualTo(200);
    assertThat(toHead.header("content-length")).isEmpty();
    assertThat(unchanged.status()).isEqualTo(304);
    assertThat(unchanged.header("content-length")).isEmpty();
  }

  private static void assertNotPassedOn(List<String> responses) throws IOException {
    for (ExchangeContext.Protocols protocols :
        List.of(ExchangeContext.Protocols.NATIVE, CloseDelimitedAdapter.protocols())) {
      for (String response : responses) {
        assertWithMessage("%s, buffer %s", response, protocols.responseBufferBytes())
            .that(outcomeOf(protocols, GET, response))
            .isEqualTo("502 malformed-answer");
      }
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
    return describe(exchange(ExchangeContext.Protocols.NATIVE, GET, respond));
  }

  private static String outcomeOf(
      ExchangeContext.Protocols protocols, String request, String response) throws IOException {
    return describe(exchange(protocols, request, connection -> connection.write(response)));
  }

  private static Optional<RawResponse> exchange(
      ExchangeContext.Protocols protocols, String request, HostileTarget.Script respond)
      throws IOException {
    HostileTarget.Script script =
        connection -> {
          if (connection.readAndCountRun().isPresent()) {
            respond.serve(connection);
          }
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry =
            new EntryFixture(
                new RotatingDispatcher(List.of(target.id())),
                Parameters.NONE,
                EntryFixture.ORDINARY_LIMITS,
                EntryFixture.InstanceServices.unshared(),
                protocols);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request);
      return caller.readResponse(request.startsWith("HEAD"));
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
