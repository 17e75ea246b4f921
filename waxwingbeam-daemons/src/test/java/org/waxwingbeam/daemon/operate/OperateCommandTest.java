package org.waxwingbeam.daemon.operate;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.daemon.ExitCode;

/** Runs the command against a stand-in replica that sends prepared responses. */
class OperateCommandTest {
  @TempDir Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final Map<String, StubResponse> responses = new ConcurrentHashMap<>();
  private final List<String> receivedRequests = new ArrayList<>();
  private HttpServer replica;

  private record StubResponse(int status, String body, long delayMs) {
    StubResponse(int status, String body) {
      this(status, body, 0);
    }
  }

  @BeforeEach
  void start() throws IOException {
    Files.writeString(folder.resolve("token"), "secret\n");
    replica = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    replica.createContext("/", this::respond);
    replica.start();
    responses.put("/configuration", new StubResponse(200, "{\"number\":\"4\"}"));
    responses.put(
        "/status",
        new StubResponse(
            200,
            "{\"entries\":[{\"name\":\"e1\",\"dataCentre\":\"north\"},"
                + "{\"name\":\"e2\",\"dataCentre\":\"south\"}]}"));
  }

  @AfterEach
  void stop() {
    replica.stop(0);
  }

  @Test
  void acceptedChangeIsWaitedForUntilInForce() throws Exception {
    responses.put("/changes", new StubResponse(200, "{\"result\":\"ACCEPTED\",\"number\":\"5\"}"));
    responses.put("/changes/5/in-force", new StubResponse(200, "{\"inForce\":true}"));

    assertThat(run("--change-id", "c1", "data-centre", "out", "north")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8).replaceAll("\\d+ ms", "N ms").replaceAll("at .*Z", "at T"))
        .isEqualTo(
            """
            change-id c1, based on 4, sent at T
            accepted as number 5 after N ms
            in force everywhere after N ms
            """);
    assertThat(receivedRequests)
        .contains(
            "POST /changes {\"changeId\":\"c1\",\"basedOn\":\"4\",\"operator\":\"operator\","
                + "\"change\":{\"takeDataCentreOut\":\"north\"}}");
  }

  @Test
  void unconfirmedEntriesAreNamedWhenTheTimeIsUp() throws Exception {
    responses.put("/changes", new StubResponse(200, "{\"result\":\"ACCEPTED\",\"number\":\"5\"}"));
    responses.put(
        "/changes/5/in-force", new StubResponse(200, "{\"unconfirmed\":[\"e1\",\"e2\"]}"));

    assertThat(run("--timeout", "300 ms", "data-centre", "out", "north"))
        .isEqualTo(ExitCode.ACCEPTED);
    assertThat(err.toString(UTF_8).replaceAll("\\d+ ms", "N ms"))
        .isEqualTo("not known to be in force after N ms; not confirmed by: e1, e2\n");
  }

  @Test
  void unconfirmedEntriesAreNamedIfSubmittingTakesTheWholeTime() throws Exception {
    String accepted = "{\"result\":\"ACCEPTED\",\"number\":\"5\"}";
    responses.put("/changes", new StubResponse(200, accepted, 400));
    responses.put(
        "/changes/5/in-force", new StubResponse(200, "{\"unconfirmed\":[\"e1\",\"e2\"]}"));

    assertThat(run("--timeout", "300 ms", "data-centre", "out", "north"))
        .isEqualTo(ExitCode.ACCEPTED);
    assertThat(err.toString(UTF_8).replaceAll("\\d+ ms", "N ms"))
        .isEqualTo("not known to be in force after N ms; not confirmed by: e1, e2\n");
  }

  @Test
  void conflictAndRefusalHaveTheirOwnCodes() throws Exception {
    responses.put(
        "/changes", new StubResponse(409, "{\"result\":\"CONFLICT\",\"currentNumber\":\"7\"}"));
    assertThat(run("account", "remove", "parish")).isEqualTo(ExitCode.CONFLICT);

    responses.put(
        "/changes", new StubResponse(422, "{\"result\":\"REFUSED\",\"reasons\":[\"no\"]}"));
    assertThat(run("account", "remove", "parish")).isEqualTo(ExitCode.REFUSED);

    assertThat(err.toString(UTF_8)).isEqualTo("conflict: the current number is 7\nrefused: no\n");
  }

  @Test
  void changeIsResentWithTheSameIdAfterLostResponse() throws Exception {
    responses.put("/changes", new StubResponse(503, "{\"result\":\"UNKNOWN\"}"));

    assertThat(run("--timeout", "500 ms", "--change-id", "c1", "account", "remove", "parish"))
        .isEqualTo(ExitCode.UNKNOWN);
    List<String> posts = receivedRequests.stream().filter(line -> line.startsWith("POST")).toList();
    assertThat(posts.size()).isAtLeast(2);
    assertThat(posts.stream().distinct().toList()).hasSize(1);
  }

  @Test
  void unknownDataCentreIsRefusedBeforeItIsSent() throws Exception {
    assertThat(run("data-centre", "out", "nort")).isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "refused: data centre 'nort': expected one that an entry instance runs in such as"
                + " 'north'; --force overrides\n");
  }

  @Test
  void lastDataCentreIsRefusedBeforeItIsSent() throws Exception {
    responses.put(
        "/configuration",
        new StubResponse(200, "{\"number\":\"4\",\"dataCentresOut\":[\"south\"]}"));

    assertThat(run("data-centre", "out", "north")).isEqualTo(ExitCode.REFUSED);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "refused: data centre 'north': expected another one to stay in service; --force"
                + " overrides\n");
  }

  @Test
  void unknownActionIsReportedWithTheKnownOnes() throws Exception {
    assertThat(run("template", "delete", "listing")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "waxwingbeam operate: unknown action 'delete': expected list, get, put or remove\n");
  }

  @Test
  void wrongDeadlineIsReported() throws Exception {
    assertThat(run("version", "move", "listing", "--to", "v2", "--deadline", "soon"))
        .isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "waxwingbeam operate: --deadline 'soon': expected a duration such as 30 min or a time"
                + " such as 2027-01-31T20:00Z\n");
  }

  @Test
  void unreachableReplicaIsSkipped() throws Exception {
    String controlAddresses = "127.0.0.1:1," + address();
    responses.put("/configuration", new StubResponse(200, "{\"dataCentresOut\":[\"south\"]}"));

    assertThat(runWith(controlAddresses, "data-centre", "list")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8)).isEqualTo("south out\n");
  }

  private ExitCode run(String... words) throws Exception {
    return runWith(address(), words);
  }

  private ExitCode runWith(String controlAddresses, String... words) throws Exception {
    List<String> arguments =
        Stream.concat(
                Stream.of(
                    "--control", controlAddresses, "--token-file", folder.resolve("token") + ""),
                Stream.of(words))
            .toList();
    return new OperateCommand()
        .run(arguments, new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
  }

  private String address() {
    return "127.0.0.1:" + replica.getAddress().getPort();
  }

  private void respond(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
    receivedRequests.add("%s %s %s".formatted(exchange.getRequestMethod(), path, body));
    StubResponse response = responses.getOrDefault(path, new StubResponse(404, ""));
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(response.delayMs()));
    byte[] bytes = response.body().getBytes(UTF_8);
    exchange.sendResponseHeaders(response.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
