package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.target.TargetDirectory.MergeResult;
import org.waxwingbeam.wire.feed.TargetRecord;

class TargetDirectoryTest {
  private final TargetDirectory directory = new TargetDirectory();

  private static TargetRecord record(String id, long started, long report) {
    return TargetRecord.newBuilder()
        .setId(id)
        .setHost("10.0.0.1")
        .setPort(80)
        .setService("alpha")
        .setState(TargetRecord.State.READY)
        .setStartedMs(started)
        .setReport(report)
        .build();
  }

  private static TargetRecord withState(TargetRecord record, TargetRecord.State state) {
    return record.toBuilder().setState(state).build();
  }

  private TargetRecord.State state(String id) {
    return directory.find(0, id).orElseThrow().getState();
  }

  @Test
  void lateReportDoesNotEndDrain() {
    directory.merge(0, record("a", 1, 4));
    assertThat(directory.merge(0, withState(record("a", 1, 6), TargetRecord.State.DRAINING)))
        .isEqualTo(MergeResult.CHANGED);

    assertThat(directory.merge(0, record("a", 1, 5))).isEqualTo(MergeResult.STALE);
    assertThat(state("a")).isEqualTo(TargetRecord.State.DRAINING);
  }

  @Test
  void repeatedReportChangesNothing() {
    assertThat(directory.merge(0, record("a", 1, 4))).isEqualTo(MergeResult.CHANGED);
    assertThat(directory.merge(0, record("a", 1, 5))).isEqualTo(MergeResult.REFRESHED);
  }

  @Test
  void departedTargetReturnsOnlyWithLaterStart() {
    directory.merge(0, record("a", 1, 4));
    TargetRecord gone =
        TargetRecord.newBuilder().setId("a").setState(TargetRecord.State.GONE).build();
    assertThat(directory.merge(0, gone)).isEqualTo(MergeResult.CHANGED);

    assertThat(directory.merge(0, record("a", 1, 9))).isEqualTo(MergeResult.STALE);
    assertThat(directory.merge(0, record("a", 2, 1))).isEqualTo(MergeResult.CHANGED);
    assertThat(state("a")).isEqualTo(TargetRecord.State.READY);
  }

  @Test
  void reportOfAnEarlierTargetAtAnAddressIsIgnored() {
    directory.merge(0, record("new", 5, 1));

    assertThat(directory.merge(0, record("old", 3, 8))).isEqualTo(MergeResult.STALE);
    assertThat(directory.find(0, "old")).isEmpty();
  }

  @Test
  void reportedColdStartChangesTheRecordAndEnds() {
    directory.merge(0, record("a", 1, 1));
    TargetRecord cold = record("a", 1, 2).toBuilder().setColdLeftMs(3_000).build();

    assertThat(directory.merge(0, cold)).isEqualTo(MergeResult.CHANGED);
    assertThat(directory.find(1_000_000_000, "a").orElseThrow().getColdLeftMs()).isEqualTo(2_000);
    TargetRecord later = record("a", 1, 3).toBuilder().setColdLeftMs(1_500).build();
    assertThat(directory.merge(1_500_000_000, later)).isEqualTo(MergeResult.REFRESHED);
    assertThat(directory.find(9_000_000_000L, "a").orElseThrow().getColdLeftMs()).isEqualTo(0);
  }

  @Test
  void targetThatReportsElsewhereIsNotOfferedToNewEntryInstances() {
    long second = 1_000_000_000;
    directory.merge(0, record("silent", 1, 1));
    directory.merge(0, record("reporting", 1, 1).toBuilder().setPort(81).build());
    directory.merge(0, record("leaving", 1, 1).toBuilder().setPort(82).build());
    directory.merge(
        second,
        TargetRecord.newBuilder().setId("leaving").setState(TargetRecord.State.GONE).build());
    directory.merge(9 * second, record("reporting", 1, 2).toBuilder().setPort(81).build());

    assertThat(directory.currentRecords(10 * second, 10 * second)).hasSize(3);
    assertThat(
            directory.currentRecords(11 * second, 10 * second).stream()
                .collect(Collectors.toMap(TargetRecord::getId, TargetRecord::getState)))
        .containsExactly("reporting", TargetRecord.State.READY, "leaving", TargetRecord.State.GONE);
    assertThat(directory.find(11 * second, "silent")).isPresent();
  }
}
