package org.waxwingbeam.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.ControlClient;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.settings.ControlSettings;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.operator.Change;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.ReplaceReplica;
import org.waxwingbeam.wire.operator.ReplicaStatus;
import org.waxwingbeam.wire.operator.Status;

/** Runs three control replicas on loopback; stops replicas and deletes their data folders. */
class ControlClusterTest {
  private static final String TOKEN = "token-of-the-processes";
  private static final String OPERATOR_TOKEN = "token-of-the-operators";
  private static final int REPLICAS = 3;
  private static final int FIRST_PORT = 21_000;
  private static final AtomicInteger CLUSTER_COUNT = new AtomicInteger();
  private static final long SILENCE_MS = 2_000;
  private static final long WAIT_MS = 60_000;

  @TempDir Path folder;
  private final HttpClient http = HttpClient.newHttpClient();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<Integer, ControlDaemon> daemons = new TreeMap<>();
  private List<Endpoint> addresses;

  @BeforeEach
  void start() throws Exception {
    addresses = unusedAddresses(3 * REPLICAS);
    for (int index = 0; index < REPLICAS; index++) {
      startReplica(index);
    }
    leader();
  }

  @AfterEach
  void stop() {
    daemons.values().forEach(ControlDaemon::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void resentChangeGetsItsFirstResponseFromTheNextLeader() throws Exception {
    ChangeAnswer first = submitChange("c1", 0, "north");
    stopReplica(leader());
    leader();

    assertThat(submitChange("c1", 0, "north")).isEqualTo(first);
    assertThat(submitChange("c2", 0, "south").getResult()).isEqualTo(ChangeAnswer.Result.CONFLICT);
  }

  @Test
  void entryInstanceFollowsTheNextLeader() throws Exception {
    AppliedConfiguration applied = new AppliedConfiguration();
    try (ControlClient entry = client(applied)) {
      entry.start();
      await(entry::hasValidLease);
      stopReplica(leader());
      leader();

      ChangeAnswer response = submitChange("c1", 0, "north");

      assertThat(response.getResult()).isEqualTo(ChangeAnswer.Result.ACCEPTED);
      await(() -> applied.current().number() == 1);
      await(entry::hasValidLease);
    }
  }

  @Test
  void withoutMajorityChangesAreNotAccepted() throws Exception {
    submitChange("c1", 0, "north");
    int last = leader();
    List.copyOf(daemons.keySet()).stream().filter(each -> each != last).forEach(this::stopReplica);
    await(() -> findLeader().isEmpty());

    HttpResponse<String> response = post(last, "/changes", request("c2", 1, "south"));

    assertThat(response.statusCode()).isEqualTo(503);
  }

  @Test
  void lostDiskIsReplacedAndThenAnotherReplicaMayBeLost() throws Exception {
    submitChange("c1", 0, "north");
    int lost = follower();
    final String lostId = status(lost).getReplica();
    replaceDisk(lost);
    final String newId = caughtUpLearner();
    await(() -> replace(lostId, newId).getResult() == ChangeAnswer.Result.ACCEPTED);

    stopReplica(daemons.keySet().stream().filter(each -> each != lost).findFirst().orElseThrow());
    await(() -> findLeader().isPresent());

    assertThat(submitChange("c2", 1, "south").getResult()).isEqualTo(ChangeAnswer.Result.ACCEPTED);
    assertThat(submitChange("c1", 0, "north").getNumber()).isEqualTo(1);
  }

  @Test
  void replacementThatLeavesNoMarginIsRefused() throws Exception {
    int lost = follower();
    final String lostId = status(lost).getReplica();
    replaceDisk(lost);
    final String newId = caughtUpLearner();
    await(() -> isSilent(lostId));
    int leading = leader();
    int other =
        daemons.keySet().stream()
            .filter(each -> each != lost && each != leading)
            .findFirst()
            .orElseThrow();

    ChangeAnswer response = replace(status(other).getReplica(), newId);

    assertThat(response.getResult()).isEqualTo(ChangeAnswer.Result.REFUSED);
    assertThat(response.getReasons(0)).contains("expected at least");
  }

  private boolean isSilent(String id) {
    return status(leader()).getReplicasList().stream()
        .anyMatch(each -> each.getId().equals(id) && each.getLastHeardMsAgo() > SILENCE_MS);
  }

  private void replaceDisk(int index) throws IOException {
    stopReplica(index);
    deleteFolder(index);
    startReplica(index);
  }

  private int follower() {
    int leading = leader();
    return daemons.keySet().stream().filter(each -> each != leading).findFirst().orElseThrow();
  }

  /** Waits until a learner has replicated log entries, and returns its id. */
  private String caughtUpLearner() throws InterruptedException {
    await(() -> learner().isPresent());
    return learner().orElseThrow().getId();
  }

  private Optional<ReplicaStatus> learner() {
    return findLeader().stream()
        .flatMap(leading -> status(leading).getReplicasList().stream())
        .filter(each -> each.getRole().equals("learner") && each.getMatchIndex() > 0)
        .findFirst();
  }

  private void startReplica(int index) throws IOException {
    daemons.put(index, ControlDaemon.start(settings(index), new ControlDaemonTest.EchoClaims()));
  }

  private void stopReplica(int index) {
    daemons.remove(index).close();
  }

  private void deleteFolder(int index) throws IOException {
    try (Stream<Path> files = Files.walk(folder.resolve("data" + index))) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private ControlSettings settings(int index) throws IOException {
    return new ControlSettings(
        new InstanceName("control-" + index),
        folder.resolve("data" + index),
        addresses.get(index),
        addresses.get(REPLICAS + index),
        addresses.get(2 * REPLICAS + index),
        new Endpoint("127.0.0.1", 0),
        addresses.subList(0, REPLICAS),
        Files.writeString(folder.resolve("token"), TOKEN),
        Files.writeString(folder.resolve("operator-token"), OPERATOR_TOKEN),
        3_000);
  }

  /**
   * Returns addresses that no other process uses: a loopback host derived from this process's id,
   * on which no ephemeral port is ever taken, and a separate port range for each test.
   */
  private static List<Endpoint> unusedAddresses(int count) {
    long pid = ProcessHandle.current().pid();
    String host = "127.%d.%d.%d".formatted(1 + (pid >> 16) % 250, (pid >> 8) % 256, 1 + pid % 250);
    int first = FIRST_PORT + count * CLUSTER_COUNT.getAndIncrement();
    return IntStream.range(first, first + count)
        .mapToObj(port -> new Endpoint(host, port))
        .toList();
  }

  private ControlClient client(AppliedConfiguration applied) {
    EntryMember member =
        EntryMember.newBuilder()
            .setName("entry-1")
            .setDataCentre("north")
            .setPeersHost("127.0.0.1")
            .setPeersPort(1)
            .build();
    return new ControlClient(
        group.next(),
        new ControlClient.Identity(member, TOKEN),
        addresses.subList(REPLICAS, 2 * REPLICAS),
        LinkLiveness.Timings.ofContact(3_000),
        applied,
        configuration -> {});
  }

  private int leader() {
    try {
      await(() -> findLeader().isPresent());
      return findLeader().orElseGet(this::leader);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  private Optional<Integer> findLeader() {
    return daemons.keySet().stream()
        .filter(each -> get(each, "/configuration").statusCode() == 200)
        .findFirst();
  }

  private Status status(int index) {
    return parse(get(index, "/status"), Status.newBuilder()).build();
  }

  private ChangeAnswer submitChange(String id, long basedOn, String dataCentre) throws Exception {
    String body = request(id, basedOn, dataCentre);
    HttpResponse<String> response = post(leader(), "/changes", body);
    return parse(response, ChangeAnswer.newBuilder()).build();
  }

  private static String request(String id, long basedOn, String dataCentre) throws IOException {
    return JsonFormat.printer()
        .print(
            ChangeRequest.newBuilder()
                .setChangeId(id)
                .setBasedOn(basedOn)
                .setChange(Change.newBuilder().setTakeDataCentreOut(dataCentre)));
  }

  private ChangeAnswer replace(String oldId, String newId) {
    try {
      String body =
          JsonFormat.printer().print(ReplaceReplica.newBuilder().setOldId(oldId).setNewId(newId));
      return parse(post(leader(), "/replicas/replace", body), ChangeAnswer.newBuilder()).build();
    } catch (IOException failed) {
      throw new IllegalStateException(failed);
    }
  }

  private HttpResponse<String> get(int index, String path) {
    return send(index, "GET", path, "");
  }

  private HttpResponse<String> post(int index, String path, String body) {
    return send(index, "POST", path, body);
  }

  private HttpResponse<String> send(int index, String method, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://%s%s".formatted(addresses.get(2 * REPLICAS + index), path)))
            .header("authorization", "Bearer " + OPERATOR_TOKEN)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException failed) {
      throw new IllegalStateException(failed);
    }
  }

  private static <B extends Message.Builder> B parse(HttpResponse<String> response, B target) {
    try {
      JsonFormat.parser().merge(response.body(), target);
      return target;
    } catch (IOException failed) {
      throw new IllegalStateException(failed);
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(until);
      Thread.sleep(10);
    }
  }
}
