package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawRequest;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

class RequestPathTest {
  private static final String POST_HEAD = "POST /orders HTTP/1.1\r\nhost: alpha.orders.example\r\n";
  private static final String GET =
      "GET /listings/%s HTTP/1.1\r\nhost: alpha.orders.example\r\n\r\n";

  @Test
  void responsesOfTwoPipelinedRequestsComeInOrder() throws Exception {
    try (HostileTarget target = new HostileTarget(RequestPathTest::echoRequestLine);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET.formatted("one") + GET.formatted("two"));

      assertThat(caller.readResponse(false).map(RawResponse::body))
          .hasValue("GET /listings/one HTTP/1.1");
      assertThat(caller.readResponse(false).map(RawResponse::body))
          .hasValue("GET /listings/two HTTP/1.1");
    }
  }

  @Test
  void connectionToTargetIsUsedAgainAfterWholeExchange() throws Exception {
    try (HostileTarget target = new HostileTarget(RequestPathTest::echoRequestLine);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      for (int i = 0; i < 5; i++) {
        caller.send(GET.formatted(i));
        assertThat(caller.readResponse(false).map(RawResponse::status)).hasValue(200);
      }

      assertThat(target.connections()).isEqualTo(1);
    }
  }

  @Test
  void bodyReachesTargetAndComesBackWhole() throws Exception {
    try (HostileTarget target = new HostileTarget(RequestPathTest::echoBody);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(
          POST_HEAD + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("abcdefg");
    }
  }

  @Test
  void headResponseHasNoBody() throws Exception {
    try (HostileTarget target =
            new HostileTarget(
                connection -> {
                  while (connection.readAndCountRun().isPresent()) {
                    connection.write("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n");
                  }
                });
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      String request = GET.formatted("one").replace("GET", "HEAD");
      caller.send(request + request);

      assertThat(caller.readResponse(true).flatMap(each -> each.header("content-length")))
          .hasValue("10");
      assertThat(caller.readResponse(true).flatMap(each -> each.header("content-length")))
          .hasValue("10");
    }
  }

  @Test
  void bodyIsAskedForOnceTheTargetIsReady() throws Exception {
    try (HostileTarget target = new HostileTarget(RequestPathTest::echoBody);
        EntryFixture entry = entry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(POST_HEAD + "content-length: 2\r\nexpect: 100-continue\r\n\r\n");
      assertThat(caller.readResponse(false).map(RawResponse::status)).hasValue(100);
      caller.send("ok");

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("ok");
    }
  }

  private static EntryFixture entry(HostileTarget target) {
    return new EntryFixture(new RotatingDispatcher(List.of(target.id())), Parameters.NONE);
  }

  static void echoRequestLine(HostileTarget.Connection connection) throws IOException {
    Optional<RawRequest> request = connection.readAndCountRun();
    while (request.isPresent()) {
      String line = request.get().requestLine();
      connection.write(
          "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s".formatted(line.length(), line));
      request = connection.readAndCountRun();
    }
  }

  private static void echoBody(HostileTarget.Connection connection) throws IOException {
    Optional<RawRequest> request = connection.readAndCountRun();
    while (request.isPresent()) {
      String body = request.get().body();
      connection.write(
          "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s".formatted(body.length(), body));
      request = connection.readAndCountRun();
    }
  }
}
