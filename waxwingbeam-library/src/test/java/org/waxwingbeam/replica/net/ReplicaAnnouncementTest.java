package org.waxwingbeam.replica.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;

/** Hellos to replicas whose connections break at that moment. */
class ReplicaAnnouncementTest {
  private static final int TIMEOUT_MS = 5_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(TIMEOUT_MS);
    return listener;
  }

  private static Endpoint address(ServerSocket listener) {
    return new Endpoint("127.0.0.1", listener.getLocalPort());
  }

  /** Accepts a connection and waits for the hello. */
  private static Socket accept(ServerSocket listener) throws IOException {
    Socket accepted = listener.accept();
    accepted.setSoTimeout(TIMEOUT_MS);
    assertThat(accepted.getInputStream().read()).isAtLeast(0);
    return accepted;
  }

  private static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  /**
   * Guards against a replica that ends when a connection breaks while it sends its hello: the
   * connection was removed during an iteration over all of them.
   */
  @Test
  void helloOnBrokenConnectionsOnlyClosesThem() throws Exception {
    ReplicaHello hello =
        ReplicaHello.newBuilder().setMember(ReplicaMember.newBuilder().setId("own")).build();
    try (ReplicaConnections own =
            new ReplicaConnections(
                group,
                new Endpoint("127.0.0.1", 0),
                "token",
                LinkLiveness.Timings.ofContact(3_000),
                () -> hello,
                each -> {},
                message -> {});
        ServerSocket first = listen();
        ServerSocket second = listen()) {
      Set<Endpoint> both = Set.of(address(first), address(second));
      group.next().submit(() -> own.connectTo(both)).get();
      try (Socket toFirst = accept(first);
          Socket toSecond = accept(second)) {
        group
            .next()
            .submit(
                () -> {
                  reset(toFirst);
                  reset(toSecond);
                  own.announce();
                  return true;
                })
            .get();
      }

      group.next().submit(() -> own.connectTo(both)).get();
      accept(first).close();
      accept(second).close();
    }
  }
}
