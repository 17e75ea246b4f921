package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.TargetId;

class WarmupTableTest {
  private static final TargetId TARGET = new TargetId("127.0.0.1", 9000);

  private final List<WarmupState> notified = new ArrayList<>();
  private final WarmupTable table = new WarmupTable(notified::add);

  @Test
  void unknownTargetIsCold() {
    assertThat(table.isWarm(TARGET, 1, 0)).isFalse();
  }

  @Test
  void lowerBootIdOrGenerationDoesNotReplaceHigherOne() {
    table.merge(new WarmupState(TARGET, 2, 3, false, 0));

    assertThat(table.merge(new WarmupState(TARGET, 1, 9, true, 0))).isFalse();
    assertThat(table.merge(new WarmupState(TARGET, 2, 2, true, 0))).isFalse();
    assertThat(table.isWarm(TARGET, 2, 0)).isFalse();
  }

  @Test
  void coldReplacesWarmOfTheSameGeneration() {
    table.merge(new WarmupState(TARGET, 1, 1, true, 0));
    table.merge(new WarmupState(TARGET, 1, 1, false, 0));
    table.merge(new WarmupState(TARGET, 1, 1, true, 0));

    assertThat(table.isWarm(TARGET, 1, 0)).isFalse();
  }

  @Test
  void targetIsColdAfterItsDataCentreWasPutBackIntoService() {
    table.merge(new WarmupState(TARGET, 1, 1, true, 4));

    assertThat(table.isWarm(TARGET, 1, 4)).isTrue();
    assertThat(table.isWarm(TARGET, 1, 5)).isFalse();
  }

  @Test
  void findingIsTheNextGenerationAndIsPassedToTheListener() {
    table.recordFinding(TARGET, 1, true, 7);
    table.recordFinding(TARGET, 1, false, 7);

    assertThat(notified)
        .containsExactly(
            new WarmupState(TARGET, 1, 1, true, 7), new WarmupState(TARGET, 1, 2, false, 7))
        .inOrder();
  }
}
