package org.waxwingbeam.replica;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.logging.EventLine;

class LeaderAbsenceTextTest {
  private static final String LONG = "x".repeat(300);
  private static final int MANY = 60;

  private static LeaderAbsence withManyMembers() {
    List<LeaderAbsence.Voter> voters =
        IntStream.range(0, MANY)
            .mapToObj(
                each ->
                    new LeaderAbsence.Voter(
                        each + LONG,
                        LONG,
                        false,
                        new ReplicaLinks.Link(
                            ReplicaLinks.Outbound.OTHER_REPLICA, true, Optional.of(Long.MAX_VALUE)),
                        Optional.of(Long.MAX_VALUE),
                        false,
                        Optional.of(Long.MAX_VALUE)))
            .toList();
    return new LeaderAbsence(
        new LeaderAbsence.Standing(
            ReplicaRole.CANDIDATE, false, true, Long.MAX_VALUE, Optional.empty()),
        new LeaderAbsence.LastLeader(Optional.of(LONG), Long.MAX_VALUE),
        new LeaderAbsence.Campaign(
            Long.MAX_VALUE,
            Long.MAX_VALUE,
            Optional.of(new LeaderAbsence.Round(Long.MAX_VALUE, true))),
        voters,
        MANY,
        new ReplicaLinks.Failures(
            Long.MAX_VALUE,
            Long.MAX_VALUE,
            Optional.of(new ReplicaLinks.Failure(LONG, Long.MAX_VALUE))));
  }

  @Test
  void lineIsBoundedWithManyMembersAndLongNames() {
    LeaderAbsence absence = withManyMembers();
    Object[] pairs =
        Stream.of(LeaderAbsenceText.summary(absence), LeaderAbsenceText.details(absence))
            .flatMap(List::stream)
            .toArray();

    assertThat(EventLine.format("order", pairs).length()).isLessThan(2_500);
  }

  @Test
  void votersThatAreNotListedAreCounted() {
    assertThat(LeaderAbsenceText.details(withManyMembers()).toString()).contains(";53-more]");
  }

  @Test
  void sentenceIsBounded() {
    assertThat(LeaderAbsenceText.sentence(withManyMembers()).length()).isLessThan(200);
  }
}
