package org.waxwingbeam.tools.measure.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.waxwingbeam.replica.DiskFolder;
import org.waxwingbeam.replica.Journal;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.tools.testing.replica.CountingClaims;
import org.waxwingbeam.wire.replica.ReplicaMember;

/**
 * Measures the opening of a replica's folder on disk after 1,000 changes, with and without
 * snapshots.
 */
final class Restarts implements ControlMeasurement.Part {
  private static final int CHANGES = 1_000;
  private static final int SNAPSHOT_ENTRIES = 100;
  private static final long ELECTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  @Override
  public MeasurementReport run(MeasurementOptions options) throws Exception {
    List<List<String>> rows =
        List.of(
            row("without", new Replica.Options(Integer.MAX_VALUE, 0)),
            row("with", new Replica.Options(SNAPSHOT_ENTRIES, 10)));
    return new MeasurementReport(
        List.of(
            new Table(
                "Restart after 1,000 changes (real disk)",
                List.of("snapshots", "journal bytes", "open ms", "ms for each accepted change"),
                rows)),
        List.of());
  }

  private static List<String> row(String name, Replica.Options options) throws IOException {
    Path folder = Files.createTempDirectory("waxwingbeam-restart");
    try {
      long startNanos = System.nanoTime();
      writeChanges(folder, options);
      final double writeMs = milliseconds(System.nanoTime() - startNanos) / CHANGES;
      final long bytes = journalBytes(folder);
      startNanos = System.nanoTime();
      open(folder, options).close();
      double openMs = milliseconds(System.nanoTime() - startNanos);
      return List.of(
          name, Long.toString(bytes), "%.1f".formatted(openMs), "%.2f".formatted(writeMs));
    } finally {
      delete(folder);
    }
  }

  /** A replica with its open journal. */
  private record OpenReplica(Journal journal, Replica replica) implements AutoCloseable {
    @Override
    public void close() throws IOException {
      journal.close();
    }
  }

  private static OpenReplica open(Path folder, Replica.Options options) throws IOException {
    Journal journal = Journal.open(DiskFolder.open(folder), () -> "replica-1");
    ReplicatedState state = new ReplicatedState(new CountingClaims());
    Replica replica = new Replica(journal, state, new SplittableRandom(1), options, entry -> {}, 0);
    return new OpenReplica(journal, replica);
  }

  private static void writeChanges(Path folder, Replica.Options options) throws IOException {
    try (OpenReplica opened = open(folder, options)) {
      Replica replica = opened.replica();
      replica.createLog(
          List.of(
              ReplicaMember.newBuilder()
                  .setId(replica.id())
                  .setHost("127.0.0.1")
                  .setPort(1)
                  .build()));
      replica.flush(0);
      replica.tick(ELECTION_NANOS);
      replica.flush(ELECTION_NANOS);
      if (replica.role() != ReplicaRole.LEADER) {
        throw new IllegalStateException(
            "a single replica must lead; its role is " + replica.role());
      }
      for (int number = 0; number < CHANGES; number++) {
        replica.propose(ChangeSamples.command(number), Restarts::checkApplied);
        replica.flush(ELECTION_NANOS);
      }
    }
  }

  private static void checkApplied(ProposalOutcome outcome) {
    if (!(outcome instanceof ProposalOutcome.Applied)) {
      throw new IllegalStateException("change not applied: " + outcome);
    }
  }

  private static double milliseconds(long nanos) {
    return nanos / 1e6;
  }

  private static long journalBytes(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.mapToLong(file -> file.toFile().length()).sum();
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
