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
  void wholeLimitIsAllocatedOnceAndEvenly() {
    int[] limits = IntStream.range(0, 15).map(each -> 12).toArray();
    int[][] allocated = new QuotaAllocation(entries(16)).allocate(targets(15), new int[15], limits);

    assertThat(Arrays.stream(allocated).mapToInt(each -> Arrays.stream(each).sum()).toArray())
        .isEqualTo(limits);
    assertThat(
            IntStream.range(0, 16)
                .map(entry -> Arrays.stream(allocated).mapToInt(each -> each[entry]).sum())
                .max()
                .orElseThrow())
        .isEqualTo(12);
  }

  @Test
  void allocatedUnitsAreNotAllocatedAgain() {
    QuotaAllocation allocation = new QuotaAllocation(entries(4));
    allocation.allocate(targets(3), new int[3], new int[] {2, 2, 2});
    int[][] additional = allocation.allocate(targets(3), new int[] {2, 2, 2}, new int[] {3, 2, 4});

    assertThat(Arrays.stream(additional).mapToInt(each -> Arrays.stream(each).sum()).toArray())
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
