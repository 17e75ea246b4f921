package org.waxwingbeam.target.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks how a large fleet divides the targets of a service. */
class TargetSubsetTest {
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c", "d", "e");

  private static String dataCentre(int number) {
    return DATA_CENTRES.get(number % DATA_CENTRES.size());
  }

  private static List<TargetSubset.Member> members(int count) {
    return IntStream.range(0, count)
        .mapToObj(each -> new TargetSubset.Member("i-" + each, dataCentre(each)))
        .toList();
  }

  private static TargetSubset subset(List<TargetSubset.Member> members, int entry, int entries) {
    return TargetSubset.of(members, "front-" + entry, dataCentre(entry), entries);
  }

  private static Set<String> ids(List<TargetSubset.Member> members, int entry, int entries) {
    TargetSubset subset = subset(members, entry, entries);
    return members.stream()
        .map(TargetSubset.Member::id)
        .filter(subset::contains)
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @CsvSource({"152,92", "152,20", "95,44", "300,200", "1000,600", "60,600", "20,168"})
  void everyTargetIsUsedByEnoughAndNotTooManyEntryInstances(int entries, int targets) {
    List<TargetSubset.Member> members = members(targets);
    List<TargetSubset> subsets =
        IntStream.range(0, entries).mapToObj(each -> subset(members, each, entries)).toList();
    int bound = subsets.getFirst().maxLocalSenders();
    int boundOfAll = subsets.getFirst().maxSenders();
    for (TargetSubset.Member each : members) {
      long senders = subsets.stream().filter(one -> one.containsLocally(each.id())).count();
      assertThat(senders).isAtLeast(2);
      assertThat(senders).isAtMost(bound);
      assertThat(subsets.stream().filter(one -> one.contains(each.id())).count())
          .isAtMost(boundOfAll);
    }
  }

  @ParameterizedTest
  @CsvSource({"100,60", "300,180", "1000,600"})
  void sizeOfSubsetDoesNotGrowWithTheFleet(int entries, int targets) {
    assertThat(ids(members(targets), 1, entries).size()).isAtMost(16);
  }

  @Test
  void subsetOfSmallServiceIsLimitedByItsTargets() {
    assertThat(ids(members(15), 3, 152)).hasSize(11);
    assertThat(ids(members(5), 3, 152)).hasSize(5);
  }

  @Test
  void departureOfOneTargetChangesOnlyTheSubsetsThatContainIt() {
    List<TargetSubset.Member> before = members(92);
    List<TargetSubset.Member> after = before.subList(0, 91);
    for (int entry = 0; entry < 152; entry++) {
      Set<String> old = ids(before, entry, 152);
      Set<String> current = ids(after, entry, 152);
      long removed = old.stream().filter(each -> !current.contains(each)).count();
      assertThat(removed).isEqualTo(old.contains("i-91") ? 1 : 0);
    }
  }
}
