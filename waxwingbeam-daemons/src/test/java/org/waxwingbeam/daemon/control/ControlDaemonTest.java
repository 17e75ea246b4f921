package org.waxwingbeam.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.ControlClient;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.replica.ClaimStateMachine;
import org.waxwingbeam.settings.ControlSettings;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.operator.Change;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.operator.Status;

/** Runs one control replica on loopback with an entry instance and an operator. */
class ControlDaemonTest {
  private static final String TOKEN = "token-of-the-processes";
  private static final String OPERATOR_TOKEN = "token-of-the-operators";
  private static final long WAIT_MS = 20_000;
  private static final int CONTACT_MS = 3_000;

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ControlDaemon daemon;

  @BeforeEach
  void start() throws Exception {
    daemon = ControlDaemon.start(settings(), new EchoClaims());
    await(() -> status().getRole().equals("leader"));
  }

  @AfterEach
  void stop() {
    daemon.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void acceptedChangeReachesEntryAndComesIntoForce() throws Exception {
    AppliedConfiguration applied = new AppliedConfiguration();
    try (ControlClient entry = client(applied, TOKEN)) {
      entry.start();
      await(entry::hasValidLease);

      ChangeAnswer response = submitChange("c1", 0, "north");

      assertThat(response.getResult()).isEqualTo(ChangeAnswer.Result.ACCEPTED);
      await(() -> applied.current().number() == 1);
      await(() -> inForce(1).getInForce());
    }
  }

  @Test
  void entryInstanceThatIsGoneLeavesTheView() throws Exception {
    try (ControlClient entry = client(new AppliedConfiguration(), TOKEN)) {
      entry.start();
      await(() -> status().getEntriesCount() == 1);
    }

    await(() -> status().getEntriesCount() == 0);
  }

  /** Guards against accepted connections that say nothing and use up the descriptors. */
  @Test
  void acceptedConnectionWithoutHelloIsClosedWithinTheContactTime() throws Exception {
    try (Socket silent = new Socket(InetAddress.getLoopbackAddress(), daemon.entriesPort())) {
      silent.setSoTimeout(CONTACT_MS);
      silent.getInputStream().readAllBytes();
    }
  }

  @Test
  void claimGetsItsResponseThroughTheLog() throws Exception {
    try (ControlClient entry = client(new AppliedConfiguration(), TOKEN)) {
      entry.start();
      await(entry::hasValidLease);
      CompletableFuture<Optional<ByteString>> response = new CompletableFuture<>();

      entry.sendClaimCommand(ByteString.copyFromUtf8("claim"), WAIT_MS, response::complete);

      assertThat(response.get(WAIT_MS, TimeUnit.MILLISECONDS))
          .isEqualTo(Optional.of(ByteString.copyFromUtf8("answer to claim")));
    }
  }

  @Test
  void changeBasedOnStaleNumberConflicts() throws Exception {
    ChangeAnswer first = submitChange("c1", 0, "north");
    ChangeAnswer second = submitChange("c2", 0, "south");

    assertThat(List.of(first.getResult(), second.getResult()))
        .containsExactly(ChangeAnswer.Result.ACCEPTED, ChangeAnswer.Result.CONFLICT)
        .inOrder();
    assertThat(second.getCurrentNumber()).isEqualTo(1);
  }

  @Test
  void resentChangeGetsItsFirstResponse() throws Exception {
    ChangeAnswer first = submitChange("c1", 0, "north");

    assertThat(submitChange("c1", 0, "north")).isEqualTo(first);
    assertThat(submitChange("c1", 0, "south").getResult()).isEqualTo(ChangeAnswer.Result.REFUSED);
    assertThat(status().getConfigurationNumber()).isEqualTo(1);
  }

  @Test
  void wrongOperatorTokenIsRefused() throws Exception {
    assertThat(send("GET", "/status", "", "token-of-nobody").statusCode()).isEqualTo(401);
  }

  @Test
  void clientWithWrongProcessTokenReceivesNoConfiguration() throws Exception {
    ChangeAnswer accepted = submitChange("c1", 0, "north");
    AppliedConfiguration applied = new AppliedConfiguration();
    try (ControlClient stranger = client(applied, "token-of-nobody");
        ControlClient entry = client(new AppliedConfiguration(), TOKEN)) {
      stranger.start();
      entry.start();
      await(entry::hasValidLease);

      assertThat(accepted.getNumber()).isEqualTo(1);
      assertThat(applied.current().number()).isEqualTo(0);
    }
  }

  @Test
  void malformedChangeIsRefused() throws Exception {
    HttpResponse<String> response = send("POST", "/changes", "{\"chnge\": 1}", OPERATOR_TOKEN);

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body()).contains("chnge");
  }

  private ControlSettings settings() throws IOException {
    Endpoint any = new Endpoint("127.0.0.1", 0);
    return new ControlSettings(
        new InstanceName("control-1"),
        folder.resolve("data"),
        any,
        any,
        any,
        any,
        List.of(any),
        Files.writeString(folder.resolve("token"), TOKEN + "\n"),
        Files.writeString(folder.resolve("operator-token"), OPERATOR_TOKEN + "\n"),
        CONTACT_MS);
  }

  private ControlClient client(AppliedConfiguration applied, String token) {
    EntryMember member =
        EntryMember.newBuilder()
            .setName("entry-1")
            .setDataCentre("north")
            .setPeersHost("127.0.0.1")
            .setPeersPort(1)
            .build();
    return new ControlClient(
        group.next(),
        new ControlClient.Identity(member, token),
        List.of(new Endpoint("127.0.0.1", daemon.entriesPort())),
        LinkLiveness.Timings.ofContact(CONTACT_MS),
        applied,
        configuration -> {});
  }

  private ChangeAnswer submitChange(String id, long basedOn, String dataCentre) throws Exception {
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId(id)
            .setBasedOn(basedOn)
            .setOperator("ada")
            .setChange(Change.newBuilder().setTakeDataCentreOut(dataCentre))
            .build();
    String body = JsonFormat.printer().print(request);
    return parse(send("POST", "/changes", body, OPERATOR_TOKEN), ChangeAnswer.newBuilder()).build();
  }

  private InForce inForce(long number) {
    return get("/changes/%d/in-force".formatted(number), InForce.newBuilder()).build();
  }

  private Status status() {
    return get("/status", Status.newBuilder()).build();
  }

  private <B extends Message.Builder> B get(String path, B target) {
    try {
      return parse(send("GET", path, "", OPERATOR_TOKEN), target);
    } catch (IOException | InterruptedException failed) {
      throw new IllegalStateException(failed);
    }
  }

  private HttpResponse<String> send(String method, String path, String body, String token)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:%d%s".formatted(daemon.operatorsPort(), path)))
            .header("authorization", "Bearer " + token)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static <B extends Message.Builder> B parse(HttpResponse<String> response, B target)
      throws InvalidProtocolBufferException {
    JsonFormat.parser().merge(response.body(), target);
    return target;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(until);
      Thread.sleep(10);
    }
  }

  static final class EchoClaims implements ClaimStateMachine {
    @Override
    public ByteString apply(ByteString command, long nowMs) {
      return ByteString.copyFromUtf8("answer to ").concat(command);
    }

    @Override
    public ByteString snapshot() {
      return ByteString.EMPTY;
    }

    @Override
    public void restore(ByteString snapshot) {}
  }
}
