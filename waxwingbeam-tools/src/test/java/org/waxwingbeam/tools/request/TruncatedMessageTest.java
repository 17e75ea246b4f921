package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.target.net.ExchangeFailure;
import org.waxwingbeam.target.net.NativeTargetAdapter;
import org.waxwingbeam.target.net.ResponseReceiver;
import org.waxwingbeam.target.net.TargetConnection;
import org.waxwingbeam.target.net.TargetConnections;
import org.waxwingbeam.target.net.TargetProber;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.ProbeResult;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Truncates messages at any byte, with the connection closed in order or reset. */
@Timeout(120)
class TruncatedMessageTest {
  private static final String GET =
      "GET /listings/%s HTTP/1.1\r\nhost: alpha.orders.example\r\n\r\n";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-seal: 0a1b\r\n";
  private static final String PLAIN = HEAD + "content-length: 12\r\n\r\nwhole answer";
  private static final String CHUNKED =
      HEAD
          + "transfer-encoding: chunked\r\n\r\n"
          + "5;a=\"b\"\r\nwhole\r\n7\r\n answer\r\n0\r\nx-t: 1\r\n\r\n";
  private static final String UNDELIMITED = HEAD + "connection: close\r\n\r\nwhole answer";
  private static final String INTERIM =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
  private static final String WHOLE = "200 whole answer";

  /** How a target ends a connection. */
  private enum End {
    CLOSE,
    RESET
  }

  private volatile String response = "";
  private volatile End end = End.CLOSE;

  private void serve(HostileTarget.Connection connection) throws IOException {
    var request = connection.readAndCountRun();
    while (request.isPresent() && request.get().requestLine().contains("/first")) {
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst");
      request = connection.readAndCountRun();
    }
    if (request.isPresent()) {
      connection.write(response);
      if (end == End.RESET) {
        connection.reset();
      }
    }
  }

  private String outcome(EntryFixture entry, boolean kept) throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      if (kept) {
        caller.send(GET.formatted("first"));
        assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("first");
      }
      caller.send(GET.formatted("x"));
      Optional<RawResponse> result = caller.readResponse(false);
      Optional<String> error = result.flatMap(each -> each.header("waxwingbeam-error"));
      return result
          .map(each -> each.status() + " " + error.orElse(each.body()))
          .orElse("connection lost");
    }
  }

  private interface Check {
    void accept(String sent, String outcome, String label);
  }

  private void forEachCut(List<String> responses, Check check) throws Exception {
    for (ExchangeContext.Protocols protocols :
        List.of(ExchangeContext.Protocols.NATIVE, CloseDelimitedAdapter.protocols())) {
      try (HostileTarget target = new HostileTarget(this::serve);
          EntryFixture entry = entry(target, protocols)) {
        for (String full : responses) {
          for (int length = 0; length <= full.length(); length++) {
            for (End each : End.values()) {
              for (boolean kept : new boolean[] {false, true}) {
                response = full.substring(0, length);
                end = each;
                String label = each + (kept ? " kept " : " new ") + response;
                check.accept(response, outcome(entry, kept), label);
              }
            }
          }
        }
      }
    }
  }

  private static EntryFixture entry(HostileTarget target, ExchangeContext.Protocols protocols) {
    return new EntryFixture(
        new RotatingDispatcher(List.of(target.id())),
        Parameters.NONE,
        EntryFixture.ORDINARY_LIMITS,
        EntryFixture.InstanceServices.unshared(),
        protocols);
  }

  @Test
  void delimitedResponseTruncatedAtAnyByteIsNeverComplete() throws Exception {
    List<String> responses = List.of(PLAIN, CHUNKED, INTERIM + PLAIN, INTERIM + CHUNKED);
    forEachCut(
        responses,
        (sent, outcome, label) -> {
          if (!responses.contains(sent)) {
            assertWithMessage(label)
                .that(outcome)
                .isAnyOf("502 target-lost", "502 malformed-answer", "connection lost");
          } else if (label.startsWith("CLOSE")) {
            assertWithMessage(label).that(outcome).isEqualTo(WHOLE);
          } else {
            assertWithMessage(label)
                .that(outcome)
                .isAnyOf(WHOLE, "502 target-lost", "connection lost");
          }
        });
  }

  @Test
  void undelimitedResponseIsCompleteOnlyIfItsHeadIsWholeAndItsConnectionWasNotReset()
      throws Exception {
    for (String full :
        List.of(UNDELIMITED, UNDELIMITED.replace("1.1", "1.0"), INTERIM + UNDELIMITED)) {
      forEachCut(
          List.of(full),
          (sent, outcome, label) -> {
            if (label.startsWith("RESET") || !sent.contains("close\r\n\r\n")) {
              assertWithMessage(label)
                  .that(outcome)
                  .isAnyOf("502 target-lost", "502 malformed-answer", "connection lost");
            } else {
              String body = sent.substring(sent.indexOf("close\r\n\r\n") + 9);
              assertWithMessage(label).that(outcome).isAnyOf("200 " + body, "502 malformed-answer");
            }
          });
    }
  }

  @Test
  void statusCheckWithTruncatedResponseHasNoResult() throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (HostileTarget target = new HostileTarget(this::serve)) {
      for (String full : List.of(PLAIN, CHUNKED, INTERIM + PLAIN, UNDELIMITED)) {
        for (int length = 0; length < full.length(); length++) {
          response = full.substring(0, length);
          if (response.contains("close\r\n\r\n")) {
            continue;
          }
          for (End each : End.values()) {
            end = each;
            TargetConnections connections =
                new TargetConnections(new CloseDelimitedAdapter(), 1_000);
            TargetProber prober =
                new TargetProber(connections, new NativeTargetAdapter(), loops.next());
            CompletableFuture<ProbeResult> result = new CompletableFuture<>();
            loops
                .next()
                .execute(
                    () ->
                        prober.probe(
                            new ProbeRequest(target.id(), "i-1", "/health", 1),
                            1,
                            result::complete));
            assertWithMessage("%s %s", each, response)
                .that(result.get(5, TimeUnit.SECONDS))
                .isInstanceOf(ProbeResult.Unanswered.class);
          }
        }
      }
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Test
  void undelimitedResponseIsNotCompleteIfItsResetIsSeenByWriting() throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CountDownLatch headRead = new CountDownLatch(1);
    CountDownLatch reset = new CountDownLatch(1);
    CompletableFuture<String> result = new CompletableFuture<>();
    CompletableFuture<TargetConnection> opened = new CompletableFuture<>();
    HostileTarget.Script script =
        connection -> {
          connection.readBytes(20);
          connection.write(UNDELIMITED.replace("whole answer", "half"));
          headRead.await();
          connection.reset();
          reset.countDown();
        };
    try (HostileTarget target = new HostileTarget(script)) {
      TargetConnections connections = new TargetConnections(new CloseDelimitedAdapter(), 1_000);
      var loop = loops.next();
      loop.execute(
          () ->
              connections.acquire(
                  target.id(),
                  Optional.empty(),
                  1,
                  loop,
                  found -> {
                    TargetConnection connection = found.orElseThrow();
                    DefaultHttpRequest head =
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/uploads/x");
                    head.headers().set("content-length", 1_000);
                    connection.startExchange(
                        head, "r-1", new Recorder(connection, headRead, result));
                    connection.flush();
                    opened.complete(connection);
                  }));
      reset.await();
      TargetConnection connection = opened.get();
      loop.execute(
          () -> {
            connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[100])));
            connection.flush();
          });
      assertThat(result.get(5, TimeUnit.SECONDS)).isEqualTo("CONNECTION_LOST");
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** Pauses reading at the head, and records how the exchange ends. */
  private record Recorder(
      TargetConnection connection, CountDownLatch headRead, CompletableFuture<String> result)
      implements ResponseReceiver {
    @Override
    public void onHead(HttpResponse head) {
      connection.setAutoRead(false);
      headRead.countDown();
    }

    @Override
    public void onContent(HttpContent content) {
      content.release();
    }

    @Override
    public void onReadComplete() {}

    @Override
    public void onComplete() {
      result.complete("complete");
    }

    @Override
    public void onFailed(ExchangeFailure failure) {
      result.complete(failure.name());
    }

    @Override
    public void onWritabilityChanged() {}
  }

  @Test
  void requestTruncatedAtAnyByteNeverRunsAsIfItWereWhole() throws Exception {
    List<String> runs = new ArrayList<>();
    HostileTarget.Script script =
        connection -> {
          var request = connection.readAndCountRun();
          while (request.isPresent()) {
            synchronized (runs) {
              runs.add(request.get().requestLine() + " " + request.get().body());
            }
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            request = connection.readAndCountRun();
          }
        };
    String post = "POST /orders HTTP/1.1\r\nhost: alpha.orders.example\r\nx-a: b\r\n";
    List<String> requests =
        List.of(
            post + "content-length: 12\r\n\r\nwhole tuning",
            post
                + "transfer-encoding: chunked\r\n\r\n"
                + "5;a=b\r\nwhole\r\n7\r\n tuning\r\n0\r\nx-t: 1\r\n\r\n",
            GET.formatted("x"));
    for (ExchangeContext.Protocols protocols :
        List.of(ExchangeContext.Protocols.NATIVE, CloseDelimitedAdapter.protocols())) {
      try (HostileTarget target = new HostileTarget(script);
          EntryFixture entry = entry(target, protocols)) {
        for (String full : requests) {
          for (int length = 0; length < full.length(); length++) {
            for (End each : End.values()) {
              try (RawCaller caller = new RawCaller(entry.endpoint())) {
                caller.send(full.substring(0, length));
                if (each == End.RESET) {
                  caller.socket().setSoLinger(true, 0);
                } else {
                  caller.socket().shutdownOutput();
                  assertThat(caller.readResponse(false).map(RawResponse::status))
                      .isNotEqualTo(Optional.of(200));
                }
              }
            }
          }
        }
        Thread.sleep(200);
        synchronized (runs) {
          assertThat(runs).isEmpty();
        }
      }
    }
  }
}
