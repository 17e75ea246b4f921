package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingbeam.wire.feed.TargetRecord;

/** Checks which records of targets are passed over. */
class TargetRecordValidatorTest {
  private static TargetRecord.Builder valid() {
    return TargetRecord.newBuilder()
        .setId("i-1")
        .setHost("10.0.0.4")
        .setPort(8080)
        .setService("alpha")
        .setSlots(4)
        .setState(TargetRecord.State.READY);
  }

  @ParameterizedTest
  @ValueSource(strings = {"10.0.0.4", "0.0.0.0", "255.255.255.255", "::1", "fe80::1:2"})
  void addressesAreAccepted(String host) {
    assertThat(TargetRecordValidator.fault(valid().setHost(host).build()).isEmpty()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "localhost", "10.0.0", "10.0.0.256", "10.0.0.4.", "10..0.4", "a.b"})
  void namesAreNeverLookedUp(String host) {
    assertThat(TargetRecordValidator.fault(valid().setHost(host).build()).orElseThrow())
        .contains("expected an IP address");
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 65_536, Integer.MAX_VALUE})
  void portsOutOfRangeAreRefused(int port) {
    assertThat(TargetRecordValidator.fault(valid().setPort(port).build()).orElseThrow())
        .contains("expected 1 to 65535");
  }

  @ParameterizedTest
  @ValueSource(ints = {-1, 0, Integer.MAX_VALUE})
  void slotsOutOfRangeAreRefused(int slots) {
    assertThat(TargetRecordValidator.fault(valid().setSlots(slots).build()).isPresent()).isTrue();
  }

  @Test
  void departedTargetNeedsNoAddress() {
    TargetRecord gone =
        TargetRecord.newBuilder().setId("i-1").setState(TargetRecord.State.GONE).build();
    assertThat(TargetRecordValidator.fault(gone).isEmpty()).isTrue();
  }
}
