package org.waxwingbeam.target.net;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.waxwingbeam.control.net.SilentRelay;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.settings.Endpoint;

/** A pooled connection to a target that stays open but carries nothing any more. */
class SilentTargetConnectionTest {
  private static final int LIMIT = 4;
  private static final long ATTEMPT_MS = 500;
  private static final long WAIT_MS = 10_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final TargetConnections connections = new TargetConnections();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against a second request that goes into the connection on which one timed out. */
  @ParameterizedTest
  @EnumSource(SilentRelay.Direction.class)
  void connectionOnWhichAnAttemptTimedOutIsNotUsedAgain(SilentRelay.Direction direction)
      throws Exception {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(204, -1);
          exchange.close();
        });
    server.start();
    Endpoint address = new Endpoint("127.0.0.1", server.getAddress().getPort());
    try (SilentRelay relay = new SilentRelay(address)) {
      TargetId target = new TargetId("127.0.0.1", relay.address().port());
      assertThat(request(target, "r1", WAIT_MS)).isTrue();
      assertThat(request(target, "r2", WAIT_MS)).isTrue();
      assertThat(relay.acceptedCount()).isEqualTo(1);

      relay.silence(direction);

      assertThat(request(target, "r3", ATTEMPT_MS)).isFalse();
      assertThat(request(target, "r4", WAIT_MS)).isTrue();
      assertThat(relay.acceptedCount()).isEqualTo(2);
    } finally {
      server.stop(0);
    }
  }

  /** Sends a request, aborts it after a time, and returns whether it was complete by then. */
  private boolean request(TargetId target, String id, long timeoutMs) throws Exception {
    CompletableFuture<TargetConnection> connected = new CompletableFuture<>();
    CountDownLatch complete = new CountDownLatch(1);
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    head.headers().set("Host", "target");
    group
        .next()
        .execute(
            () ->
                connections.acquire(
                    target,
                    Optional.of(id),
                    LIMIT,
                    group.next(),
                    found -> {
                      found.get().startExchange(head, id, new Receiver(complete));
                      found.get().write(LastHttpContent.EMPTY_LAST_CONTENT);
                      found.get().flush();
                      connected.complete(found.get());
                    }));
    TargetConnection connection = connected.get(WAIT_MS, TimeUnit.MILLISECONDS);
    boolean inTime = complete.await(timeoutMs, TimeUnit.MILLISECONDS);
    if (!inTime) {
      group.next().submit(connection::abort).get();
    }
    return inTime;
  }

  private record Receiver(CountDownLatch complete) implements ResponseReceiver {
    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onContent(HttpContent content) {
      content.release();
    }

    @Override
    public void onReadComplete() {}

    @Override
    public void onComplete() {
      complete.countDown();
    }

    @Override
    public void onFailed(ExchangeFailure failure) {}

    @Override
    public void onWritabilityChanged() {}
  }
}
