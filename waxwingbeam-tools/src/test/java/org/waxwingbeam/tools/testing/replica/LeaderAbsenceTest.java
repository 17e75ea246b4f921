package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.logging.EventLine;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.LeaderAbsence;
import org.waxwingbeam.replica.LeaderAbsenceText;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaLinks;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/** What five replicas without a leader say of why, each cause on simulated links and one clock. */
class LeaderAbsenceTest {
  private static final int REPLICAS = 5;
  private static final long STEP_MS = 10;

  private final List<Replica> replicas = new ArrayList<>();
  private final Set<Integer> stopped = new HashSet<>();
  private List<ReplicaMessage> messages = new ArrayList<>();
  private Predicate<ReplicaMessage> delivered = message -> true;
  private ReplicaLinks.Link link =
      new ReplicaLinks.Link(ReplicaLinks.Outbound.GREETED, true, Optional.of(0L));
  private ReplicaLinks.Failures failures = ReplicaLinks.Failures.NONE;
  private long nowMs;

  @BeforeEach
  void startAndElect() throws IOException {
    for (int i = 0; i < REPLICAS; i++) {
      String id = "r" + i;
      replicas.add(
          new Replica(
              Journal.open(new SimulatedFolder(SimulatedFolder.DiskFaults.NONE), () -> id),
              new ReplicatedState(new CountingClaims()),
              new SplittableRandom(i),
              Replica.Options.DEFAULT,
              entry -> {},
              0));
    }
    List<ReplicaMember> voters =
        IntStream.range(0, REPLICAS)
            .mapToObj(i -> ReplicaMember.newBuilder().setId("r" + i).setHost("10.0.0." + i).build())
            .toList();
    replicas.forEach(each -> each.createLog(voters));
    run(5_000);
    assertThat(replicas.get(followers().getFirst()).leaderId()).isPresent();
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMs);
  }

  private void run(long milliseconds) {
    for (long end = nowMs + milliseconds; nowMs < end; ) {
      nowMs += STEP_MS;
      List<ReplicaMessage> arriving = messages.stream().filter(delivered).toList();
      messages = new ArrayList<>();
      IntStream.range(0, REPLICAS)
          .filter(i -> !stopped.contains(i))
          .mapToObj(replicas::get)
          .forEach(each -> step(each, arriving));
    }
  }

  private void step(Replica replica, List<ReplicaMessage> arriving) {
    arriving.stream()
        .filter(each -> each.getTo().equals(replica.id()))
        .forEach(each -> replica.receive(nanos(), each));
    replica.tick(nanos());
    messages.addAll(replica.flush(nanos()));
  }

  private List<Integer> followers() {
    return IntStream.range(0, REPLICAS)
        .filter(i -> replicas.get(i).role() != ReplicaRole.LEADER)
        .boxed()
        .toList();
  }

  /** Returns the line of a replica that is still running and did not lead. */
  private String line(Replica replica) {
    LeaderAbsence absence =
        replica.leaderAbsence(
            nanos(),
            new ReplicaLinks() {
              @Override
              public Link link(ReplicaMember member) {
                return link;
              }

              @Override
              public Failures failures(long nowNanos) {
                return failures;
              }
            });
    Object[] pairs =
        Stream.of(LeaderAbsenceText.summary(absence), LeaderAbsenceText.details(absence))
            .flatMap(List::stream)
            .toArray();
    return EventLine.format("order", pairs);
  }

  @Test
  void linksThatAreOpenAndDead() {
    final Replica follower = replicas.get(followers().getFirst());
    delivered = message -> false;
    link = new ReplicaLinks.Link(ReplicaLinks.Outbound.GREETED, true, Optional.of(15_000L));
    run(15_000);

    assertThat(line(follower))
        .containsMatch(
            "cause=voters-silent role=candidate .* linked=5 heard=1 granted=1 refused=0"
                + " .*out-greeted,silent-15000-ms,in,heard-1[45]\\d{3}-ms-ago");
  }

  @Test
  void votersThatWereReplacedAndStillCount() {
    List<Integer> followers = followers();
    stopped.addAll(List.of(followers.get(1), followers.get(2), followers.get(3)));
    link = new ReplicaLinks.Link(ReplicaLinks.Outbound.OTHER_REPLICA, false, Optional.of(0L));
    run(15_000);

    assertThat(line(replicas.get(followers.getFirst())))
        .containsMatch("cause=voters-gone .* linked=1 .*out-other-replica,silent-0-ms,no-in");
  }

  @Test
  void replicasThatHaveAllResigned() {
    final Replica follower = replicas.get(followers().getFirst());
    replicas.forEach(each -> each.resign(nanos()));
    run(15_000);

    assertThat(line(follower))
        .containsMatch("cause=resigned role=resigned .* pre_votes=0 elections=0");
  }

  @Test
  void repliesToVoteRequestsThatAreLost() {
    final Replica follower = replicas.get(followers().getFirst());
    delivered = message -> message.hasVoteRequest();
    run(15_000);

    assertThat(line(follower))
        .containsMatch("cause=votes-unanswered .* linked=5 heard=5 granted=1 refused=0");
  }

  @Test
  void votesThatAreRefusedBecauseOthersHearOfLeader() {
    final Replica follower = replicas.get(followers().getFirst());
    delivered = message -> message.hasVoteReply() || !message.getTo().equals(follower.id());
    run(15_000);

    assertThat(line(follower))
        .containsMatch(
            "cause=votes-refused .* granted=1 refused=4 .*round=pre-vote-.*,refused-in-term-\\d+");
  }

  @Test
  void exceptionInTheHandlingOfEachMessage() {
    final Replica follower = replicas.get(followers().getFirst());
    delivered = message -> false;
    failures =
        new ReplicaLinks.Failures(
            700, 698, Optional.of(new ReplicaLinks.Failure("IllegalStateException", 20)));
    run(15_000);

    assertThat(line(follower))
        .containsMatch(
            "cause=messages-fail .* links_lost=700 messages_failed=698"
                + " last_failure=IllegalStateException:20-ms-ago");
  }
}
