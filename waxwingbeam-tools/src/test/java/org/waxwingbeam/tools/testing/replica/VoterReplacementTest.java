package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;
import static org.waxwingbeam.tools.testing.replica.ReplicaGroup.CATCH_UP_MS;
import static org.waxwingbeam.tools.testing.replica.ReplicaGroup.addresses;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Voters that are gone. Guards against one that stays a voter after its successor has had the time
 * to catch up: the loss of two more disks then left no majority.
 */
class VoterReplacementTest {
  private static final int SUCCESSOR = 6;
  private static final int SECOND_SUCCESSOR = 7;

  /** Time from the loss of a machine to the start of its successor. */
  private static final long SUCCESSOR_DELAY_MS = 1_000;

  /** Time that the process of a successor takes until it has said hello. */
  private static final long START_MS = 1_000;

  private ReplicaGroup group;

  @BeforeEach
  void start() throws IOException {
    group = new ReplicaGroup();
  }

  private int follower(int position) {
    return group.followers().get(position);
  }

  /** Starts a successor, whose process says hello after some time. */
  private void startSuccessor(int address) throws IOException {
    group.run(START_MS);
    group.start(address);
  }

  @Test
  void successorVotesInsteadOfLostVoterInTime() throws IOException {
    int lost = follower(0);
    group.stop(lost);
    group.run(SUCCESSOR_DELAY_MS);
    startSuccessor(SUCCESSOR);

    group.await(CATCH_UP_MS - START_MS, () -> group.votersAre(addresses(SUCCESSOR, lost)));
    // Two more disks may be lost now.
    group.stop(follower(0));
    group.stop(follower(0));
    group.run(CATCH_UP_MS);
    assertThat(group.leader()).isPresent();
  }

  @Test
  void successorOfLeaderVotesInTime() throws IOException {
    int lost = group.leader().orElseThrow();
    group.stop(lost);
    group.run(SUCCESSOR_DELAY_MS);
    startSuccessor(SUCCESSOR);

    group.await(CATCH_UP_MS - START_MS, () -> group.votersAre(addresses(SUCCESSOR, lost)));
  }

  @Test
  void successorVotesInTimeIfTheLeaderIsLostMeanwhile() throws IOException {
    int lost = follower(0);
    group.stop(lost);
    group.run(SUCCESSOR_DELAY_MS);
    startSuccessor(SUCCESSOR);
    int leader = group.leader().orElseThrow();
    group.stop(leader);

    group.await(
        CATCH_UP_MS - START_MS,
        () -> !group.voters().isEmpty() && group.voters().contains(group.id(SUCCESSOR)));
    group.run(SUCCESSOR_DELAY_MS);
    startSuccessor(SECOND_SUCCESSOR);
    group.await(
        CATCH_UP_MS - START_MS, () -> group.votersAre(addresses(SECOND_SUCCESSOR, lost, leader)));
  }

  @Test
  void twoVotersLostOneAfterTheOtherAreReplacedInTime() throws IOException {
    int first = follower(0);
    int second = follower(1);
    group.stop(first);
    group.run(SUCCESSOR_DELAY_MS / 2);
    group.stop(second);
    group.run(SUCCESSOR_DELAY_MS / 2);
    startSuccessor(SUCCESSOR);
    group.run(SUCCESSOR_DELAY_MS / 2);
    group.start(SECOND_SUCCESSOR);

    group.await(
        CATCH_UP_MS - START_MS, () -> group.votersAre(addresses(SECOND_SUCCESSOR, first, second)));
  }

  @Test
  void successorThatIsLostAsItBecomesVoterLeavesMajority() throws IOException {
    group.stop(follower(0));
    group.stop(follower(0));
    group.run(SUCCESSOR_DELAY_MS);
    startSuccessor(SUCCESSOR);
    group.await(
        CATCH_UP_MS - START_MS,
        () -> !group.voters().isEmpty() && group.voters().contains(group.id(SUCCESSOR)));
    group.stop(SUCCESSOR);

    group.run(CATCH_UP_MS);
    assertThat(group.leader()).isPresent();
  }

  @Test
  void replicaThatLostItsDiskVotesAgainInTime() throws IOException {
    int lost = follower(0);
    group.stop(lost);
    startSuccessor(lost);

    group.await(CATCH_UP_MS - START_MS, () -> group.votersAre(addresses(ReplicaGroup.VOTERS)));
  }

  @Test
  void learnerReplacesVoterThatLeavesBeforeItIsGone() throws IOException {
    group.start(SUCCESSOR);
    // It is a spare by now, not the successor of a voter that is gone.
    group.run(5 * CATCH_UP_MS);
    int leaving = follower(0);
    group.leave(leaving);
    group.await(500, () -> group.votersAre(addresses(SUCCESSOR, leaving)));
  }

  @Test
  void learnerReplacesLeaderThatLeavesBeforeItIsGone() throws IOException {
    group.start(SUCCESSOR);
    group.run(5 * CATCH_UP_MS);
    int leaving = group.leader().orElseThrow();
    group.leave(leaving);
    group.await(3_000, () -> group.votersAre(addresses(SUCCESSOR, leaving)));
  }

  @Test
  void frozenVoterWithoutSpareStaysVoter() {
    int frozen = follower(0);
    group.freeze(frozen);
    group.run(5 * CATCH_UP_MS);
    group.wake(frozen);
    group.run(CATCH_UP_MS);
    assertThat(group.voterChanges()).isEqualTo(0);
  }

  @Test
  void voterThatIsFrozenForSomeSecondsKeepsItsPlaceBesideSpare() throws IOException {
    group.start(SUCCESSOR);
    group.run(5 * CATCH_UP_MS);
    for (int i = 0; i < 5; i++) {
      int frozen = group.followers().stream().filter(each -> each != SUCCESSOR).toList().get(i % 4);
      group.freeze(frozen);
      group.run(CATCH_UP_MS + 1_000);
      group.wake(frozen);
      group.run(2_000);
    }
    assertThat(group.voterChanges()).isEqualTo(0);
  }

  @Test
  void voterThatIsFrozenForLongIsReplacedOnceAndDoesNotComeBack() throws IOException {
    group.start(SUCCESSOR);
    group.run(5 * CATCH_UP_MS);
    int frozen = follower(0);
    group.freeze(frozen);
    group.run(4 * CATCH_UP_MS);
    assertThat(group.votersAre(addresses(SUCCESSOR, frozen))).isTrue();
    group.wake(frozen);
    group.run(10 * CATCH_UP_MS);
    assertThat(group.votersAre(addresses(SUCCESSOR, frozen))).isTrue();
    // The frozen one leaves the voters, then the spare joins them.
    assertThat(group.voterChanges()).isEqualTo(2);
  }

  @Test
  void slowVoterIsNotReplacedByNewLearner() throws IOException {
    group.slow(follower(0), 700);
    group.start(SUCCESSOR);
    group.run(10 * CATCH_UP_MS);
    assertThat(group.voterChanges()).isEqualTo(0);
  }
}
