package org.waxwingbeam.text;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class QuantityTest {
  @Test
  void numberWithUnitIsParsed() {
    assertThat(Quantity.DURATION.parse("2 min")).isEqualTo(OptionalLong.of(120_000));
    assertThat(Quantity.SIZE.parse("16KiB")).isEqualTo(OptionalLong.of(16_384));
    assertThat(Quantity.NUMBER.parse("64")).isEqualTo(OptionalLong.of(64));
  }

  @Test
  void missingOrInvalidUnitIsRejected() {
    assertThat(Quantity.DURATION.parse("250")).isEqualTo(OptionalLong.empty());
    assertThat(Quantity.DURATION.parse("250 KiB")).isEqualTo(OptionalLong.empty());
    assertThat(Quantity.SIZE.parse("-1 KiB")).isEqualTo(OptionalLong.empty());
  }

  @Test
  void valueOutOfRangeIsRejected() {
    assertThat(Quantity.SIZE.parse("999999999999999 TiB")).isEqualTo(OptionalLong.empty());
  }

  @Test
  void valueIsFormattedInLargestWholeUnit() {
    assertThat(Quantity.DURATION.format(90_000)).isEqualTo("90 s");
    assertThat(Quantity.DURATION.format(0)).isEqualTo("0 ms");
    assertThat(Quantity.SIZE.format(1L << 20)).isEqualTo("1 MiB");
  }
}
