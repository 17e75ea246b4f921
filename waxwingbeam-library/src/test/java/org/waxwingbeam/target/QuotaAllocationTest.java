package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

class QuotaAllocationTest {
  @Test
  void everyPlaceIsGivenOutOnceAndEvenly() {
    int[] limits = IntStream.range(0, 15).map(each -> 12).toArray();
    int[][] given = new QuotaAllocation(entries(16)).allocate(targets(15), new int[15], limits);

    assertThat(Arrays.stream(given).mapToInt(each -> Arrays.stream(each).sum()).toArray())
        .isEqualTo(limits);
    assertThat(
            IntStream.range(0, 16)
                .map(entry -> Arrays.stream(given).mapToInt(each -> each[entry]).sum())
                .max()
                .orElseThrow())
        .isEqualTo(12);
  }

  @Test
  void placesThatWereGivenOutBeforeAreNotGivenOutAgain() {
    QuotaAllocation allocation = new QuotaAllocation(entries(4));
    allocation.allocate(targets(3), new int[3], new int[] {2, 2, 2});
    int[][] more = allocation.allocate(targets(3), new int[] {2, 2, 2}, new int[] {3, 2, 4});

    assertThat(Arrays.stream(more).mapToInt(each -> Arrays.stream(each).sum()).toArray())
        .isEqualTo(new int[] {1, 0, 2});
  }

  private static List<InstanceName> entries(int count) {
    return IntStream.range(0, count).mapToObj(each -> new InstanceName("entry-" + each)).toList();
  }

  private static List<TargetId> targets(int count) {
    return IntStream.range(0, count)
        .mapToObj(each -> new TargetId("10.0.0." + each, 9000))
        .toList();
  }
}
