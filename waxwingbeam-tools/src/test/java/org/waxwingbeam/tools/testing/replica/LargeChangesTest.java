package org.waxwingbeam.tools.testing.replica;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.JournalBatch;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.routing.PutDocument;
import org.waxwingbeam.wire.routing.RoutingChange;
import org.waxwingbeam.wire.routing.RoutingDocument;

/**
 * Guards against a log that grows with the size of the changes: it was compacted by the number of
 * its entries only, so that some hundred large changes filled the memory of every replica.
 */
class LargeChangesTest {
  private static final int CHANGE_BYTES = 250_000;
  private static final int CHANGES = 1_000;

  /** Some compactions' worth of large changes: 4 % of all that are made. */
  private static final long MAX_JOURNAL_BYTES = 10L << 20;

  private static final long ELECTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final SimulatedFolder folder = new SimulatedFolder(SimulatedFolder.DiskFaults.NONE);
  private final List<ProposalOutcome> outcomes = new ArrayList<>();

  @Test
  void journalStaysBoundedUnderLargeChanges() throws IOException {
    Replica replica = leader();
    long largest = 0;
    for (int version = 1; version <= CHANGES; version++) {
      replica.propose(change(version), outcomes::add);
      replica.flush(ELECTION_NANOS);
      largest = Math.max(largest, folder.syncedSize());
    }

    assertThat(largest).isLessThan(MAX_JOURNAL_BYTES);
    assertThat(outcomes).hasSize(CHANGES);
    assertThat(outcomes.stream().allMatch(ProposalOutcome.Applied.class::isInstance)).isTrue();
    ReplicatedState restarted = new ReplicatedState(new CountingClaims());
    lead(replica(restarted));
    assertThat(restarted.routing().state().getDocument().getVersion()).isEqualTo(CHANGES);
  }

  @Test
  void longJournalOfEarlierBuildIsLoadedAndCompacted() throws IOException {
    int changes = 400;
    Journal journal = Journal.open(folder, () -> "replica-1");
    for (int index = 1; index <= changes; index++) {
      // Two different entries at most indexes, as after a change of the leader.
      if (index % 2 == 0) {
        journal.append(batch(index, change(CHANGES)));
      }
      journal.append(batch(index, change(index)));
    }
    journal.close();
    final long before = folder.syncedSize();

    ReplicatedState state = new ReplicatedState(new CountingClaims());
    Replica replica = replica(state);

    // The last entry of a journal is not known to be committed.
    assertThat(state.routing().state().getDocument().getVersion()).isEqualTo(changes - 1);
    assertThat(replica.commitIndex()).isEqualTo(changes - 1);
    replica.flush(0);
    assertThat(before).isGreaterThan(10 * MAX_JOURNAL_BYTES);
    assertThat(folder.syncedSize()).isLessThan(MAX_JOURNAL_BYTES);
  }

  private static JournalBatch batch(int index, Command command) {
    return JournalBatch.newBuilder()
        .setTerm(1)
        .setVotedFor("replica-1")
        .addEntries(LogEntry.newBuilder().setIndex(index).setTerm(1).setCommand(command))
        .setCommitted(index - 1)
        .build();
  }

  private Replica leader() throws IOException {
    Replica replica = replica(new ReplicatedState(new CountingClaims()));
    replica.createLog(
        List.of(
            ReplicaMember.newBuilder()
                .setId(replica.id())
                .setHost("127.0.0.1")
                .setPort(1)
                .build()));
    replica.flush(0);
    lead(replica);
    return replica;
  }

  private static void lead(Replica replica) {
    replica.tick(ELECTION_NANOS);
    replica.flush(ELECTION_NANOS);
  }

  private Replica replica(ReplicatedState state) throws IOException {
    Journal journal = Journal.open(folder, () -> "replica-1");
    return new Replica(
        journal, state, new SplittableRandom(1), Replica.Options.DEFAULT, entry -> {}, 0);
  }

  private static Command change(int version) {
    return Command.newBuilder()
        .setRouting(
            RoutingChange.newBuilder()
                .setPutDocument(
                    PutDocument.newBuilder()
                        .setDocument(RoutingDocument.newBuilder().setVersion(version))
                        .setSource(ByteString.copyFrom(new byte[CHANGE_BYTES]))))
        .build();
  }
}
