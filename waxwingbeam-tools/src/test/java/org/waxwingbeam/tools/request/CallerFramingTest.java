package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Sends malformed and ambiguous requests, and requests that break the limits of callers. */
@Timeout(120)
class CallerFramingTest {
  private static final String HOST = "host: alpha.orders.example\r\n";
  private static final String HIDDEN_REQUEST = "GET /listings/hidden HTTP/1.1\r\n" + HOST + "\r\n";

  private final AtomicInteger hiddenRequests = new AtomicInteger();
  private HostileTarget target;
  private EntryFixture entry;

  @BeforeEach
  void start() throws IOException {
    target =
        new HostileTarget(
            connection -> {
              var request = connection.readAndCountRun();
              while (request.isPresent()) {
                if (request.get().requestLine().contains("hidden")) {
                  hiddenRequests.incrementAndGet();
                }
                connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                request = connection.readAndCountRun();
              }
            });
    entry =
        new EntryFixture(
            new RotatingDispatcher(List.of(target.id())),
            Parameters.NONE.with(Parameter.REQUEST_BODY_LIMIT, 200_000),
            new EntrySettings.CallerLimits(1_024, 300, 600),
            EntryFixture.InstanceServices.unshared());
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    target.close();
  }

  @Test
  void ambiguousRequestsAreRefusedAndNoPipelinedRequestRuns() throws Exception {
    String post = "POST /uploads/x HTTP/1.1\r\n" + HOST;
    List<String> requests =
        List.of(
            post + "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            post + "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
            post + "content-length: 4\r\ncontent-length: 5\r\n\r\nabcd",
            post + "content-length: 4\r\ncontent-length: 4\r\n\r\nabcd",
            post + "content-length: 4, 4\r\n\r\nabcd",
            post + "content-length: -4\r\n\r\nabcd",
            post + "content-length: +4\r\n\r\nabcd",
            post + "content-length: 0x4\r\n\r\nabcd",
            post + "content-length: \r\n\r\nabcd",
            post + "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            post + "transfer-encoding: identity\r\n\r\n",
            post + "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            post + "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
            post + "transfer-encoding : chunked\r\n\r\n0\r\n\r\n",
            post + "transfer-encoding: chunked\r\n\r\nzz\r\n\r\n",
            post + "transfer-encoding: chunked\r\n\r\n-1\r\n\r\n",
            post + "transfer-encoding: chunked\r\n\r\n3 4\r\nabc\r\n0\r\n\r\n",
            post + "transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
            post + "content-length: 0\r\n x-folded: 1\r\n\r\n",
            post + "x-a: 1\r\n\tfolded\r\n\r\n",
            " GET /listings/x HTTP/1.1\r\n" + HOST + "\r\n",
            "GET /listings/x HTTP/1.1\r\n\r\n",
            "GET /listings/x HTTP/1.1\r\n" + HOST + HOST + "\r\n",
            "GET /listings/x HTTP/1.0\r\n" + HOST + "\r\n",
            "GET /listings/x HTTP/2.0\r\n" + HOST + "\r\n",
            "GET  HTTP/1.1\r\n" + HOST + "\r\n",
            "GET /listings/x HTTP/1.1\r\n" + HOST + "x y: 1\r\n\r\n",
            "GET /listings/x HTTP/1.1\r\n" + HOST + ": 1\r\n\r\n",
            "GET /listings/x HTTP/1.1\r\n" + HOST + "x-a: \0\r\n\r\n",
            "GET /listings/x HTTP/1.1\r\n" + HOST + "expect: more\r\n\r\n",
            "CONNECT a:1 HTTP/1.1\r\n" + HOST + "\r\n");
    for (String request : requests) {
      assertRefused(request);
    }
    assertThat(hiddenRequests.get()).isEqualTo(0);
  }

  private void assertRefused(String request) throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request + HIDDEN_REQUEST);
      RawResponse response = caller.readResponse(false).orElseThrow();
      assertWithMessage(request).that(response.status()).isEqualTo(400);
      assertWithMessage(request).that(response.header("connection")).hasValue("close");
      assertWithMessage(request).that(caller.isClosedByPeer()).isTrue();
    }
  }

  @Test
  void headBeyondLimitIsRefused() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send("GET /listings/x HTTP/1.1\r\nx-long: %s\r\n".formatted("y".repeat(2_000)));

      assertThat(caller.readResponse(false).flatMap(each -> each.header("waxwingbeam-error")))
          .hasValue("request-too-large");
    }
  }

  @Test
  void headThatComesTooSlowlyIsRefused() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send("GET /listings/x HTTP/1.1\r\nhost:");

      assertThat(caller.readResponse(false).flatMap(each -> each.header("waxwingbeam-error")))
          .hasValue("request-timeout");
      assertThat(caller.isClosedByPeer()).isTrue();
    }
  }

  @Test
  void idleConnectionIsClosedAfterItsTimeout() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      assertThat(caller.isClosedByPeer()).isTrue();
    }
  }

  @Test
  void bodyBeyondLimitIsRefusedBeforeItIsSent() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send("POST /uploads/x HTTP/1.1\r\n" + HOST + "content-length: 200001\r\n\r\n");
      RawResponse response = caller.readResponse(false).orElseThrow();

      assertThat(response.header("waxwingbeam-error")).hasValue("request-too-large");
      assertThat(response.header("waxwingbeam-run")).hasValue("no");
      assertThat(target.connections()).isEqualTo(0);
    }
  }

  @Test
  void chunkedBodyBeyondLimitIsNotReportedAsNotRun() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send("POST /uploads/x HTTP/1.1\r\n" + HOST + "transfer-encoding: chunked\r\n\r\n");
      String chunk = "ea60\r\n%s\r\n".formatted("z".repeat(60_000));
      for (int i = 0; i < 4; i++) {
        caller.send(chunk);
      }
      RawResponse response = caller.readResponse(false).orElseThrow();

      assertThat(response.header("waxwingbeam-error")).hasValue("request-incomplete");
      assertThat(response.header("waxwingbeam-run")).hasValue("unknown");
    }
  }

  @Test
  void requestsSplitAtAnyByteGetTheSameResponses() throws Exception {
    String requests =
        "POST /orders HTTP/1.1\r\n%stransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                .formatted(HOST)
            + "GET /listings/a HTTP/1.1\r\n%s\r\n".formatted(HOST);
    for (int cut = 1; cut < requests.length(); cut++) {
      try (RawCaller caller = new RawCaller(entry.endpoint())) {
        caller.send(requests.substring(0, cut));
        caller.send(requests.substring(cut));
        assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("ok");
        assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("ok");
      }
    }
  }

  @Test
  void requestWhoseHeadArrivesInPiecesAfterIdleTimeIsServed() throws Exception {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      Thread.sleep(400);
      caller.send("GET /listings/a HTTP/1.1\r\n");
      Thread.sleep(150);
      caller.send(HOST + "\r\n");

      RawResponse response = caller.readResponse(false).orElseThrow();

      assertThat(response.body()).isEqualTo("ok");
    }
  }
}
