package org.waxwingbeam.control.net;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.ClaimReply;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.Lease;

/** An entry instance whose connection to the leading control replica is open but silent or slow. */
class ControlSilenceTest {
  private static final int CONTACT_MS = 3_000;
  private static final int STEP_MS = 200;
  private static final int LARGE_MESSAGE_BYTES = 1 << 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void silentConnectionIsTriedAgainWithinTheContactTime() throws Exception {
    try (ServerSocket replica = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ControlClient client = startClient(replica)) {
      replica.setSoTimeout(CONTACT_MS);
      try (Socket first = replica.accept();
          Socket second = replica.accept()) {
        assertThat(first.getPort()).isNotEqualTo(second.getPort());
        assertThat(client.hasValidLease()).isFalse();
      }
    }
  }

  /** Guards against an entry instance that never gets a large configuration over a thin link. */
  @Test
  void largeMessageThatArrivesSlowlyDoesNotEndTheConnection() throws Exception {
    byte[] large =
        ControlMessage.newBuilder()
            .setClaim(
                ClaimReply.newBuilder()
                    .setAnswer(ByteString.copyFrom(new byte[LARGE_MESSAGE_BYTES])))
            .build()
            .toByteArray();
    try (ServerSocket replica = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ControlClient client = startClient(replica);
        Socket connection = replica.accept()) {
      DataOutputStream out = new DataOutputStream(connection.getOutputStream());
      out.writeInt(large.length);
      int step = large.length * STEP_MS / CONTACT_MS;
      for (int sent = 0; sent < large.length; sent += step) {
        out.write(large, sent, Math.min(step, large.length - sent));
        Thread.sleep(STEP_MS);
      }

      replica.setSoTimeout(STEP_MS);
      assertThrows(SocketTimeoutException.class, replica::accept);
      assertThat(client.hasValidLease()).isFalse();
    }
  }

  /** Guards against a process that drops its connection when it goes on after a pause. */
  @Test
  void clientThatStoodStillKeepsItsConnection() throws Exception {
    try (ServerSocket replica = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ControlClient client = startClient(replica);
        Socket connection = replica.accept()) {
      sendLease(connection);
      Future<Boolean> still =
          group
              .next()
              .submit(
                  () -> {
                    Thread.sleep(CONTACT_MS);
                    return true;
                  });
      while (!still.isDone()) {
        sendLease(connection);
      }
      sendLease(connection);

      replica.setSoTimeout(STEP_MS);
      assertThrows(SocketTimeoutException.class, replica::accept);
      assertThat(client.hasValidLease()).isFalse();
    }
  }

  private static void sendLease(Socket connection) throws Exception {
    ControlMessage lease = ControlMessage.newBuilder().setLease(Lease.getDefaultInstance()).build();
    DataOutputStream out = new DataOutputStream(connection.getOutputStream());
    out.writeInt(lease.getSerializedSize());
    out.write(lease.toByteArray());
    Thread.sleep(STEP_MS);
  }

  private ControlClient startClient(ServerSocket replica) {
    EntryMember member = EntryMember.newBuilder().setName("entry-1").build();
    ControlClient client =
        new ControlClient(
            group.next(),
            new ControlClient.Identity(member, "token"),
            List.of(new Endpoint("127.0.0.1", replica.getLocalPort())),
            LinkLiveness.Timings.ofContact(CONTACT_MS),
            new AppliedConfiguration(),
            configuration -> {});
    client.start();
    return client;
  }
}
