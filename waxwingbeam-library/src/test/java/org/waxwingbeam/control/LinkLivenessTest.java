package org.waxwingbeam.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.control.LinkLiveness.Action;
import org.waxwingbeam.control.LinkLiveness.Side;
import org.waxwingbeam.control.LinkLiveness.Timings;

/** Pulses and silence of one connection, on a manual clock. */
class LinkLivenessTest {
  private static final Timings TIMINGS = Timings.ofContact(3_000);
  private static final long TICK_MS = 20;

  private final LinkLiveness opener = new LinkLiveness(Side.OPENER, TIMINGS, 0);
  private final LinkLiveness acceptor = new LinkLiveness(Side.ACCEPTOR, TIMINGS, 0);
  private long nowMs;

  private Action tick(LinkLiveness liveness) {
    return liveness.tick(TimeUnit.MILLISECONDS.toNanos(nowMs));
  }

  /** Returns how often an action is due within a time. */
  private long count(LinkLiveness liveness, Action counted, long milliseconds) {
    return LongStream.rangeClosed(1, milliseconds / TICK_MS)
        .filter(
            step -> {
              nowMs += TICK_MS;
              return tick(liveness) == counted;
            })
        .count();
  }

  @Test
  void connectionWithoutAnyAnswerIsClosedWithinTheContactTime() {
    assertThat(count(opener, Action.CLOSE, 1_480)).isEqualTo(0);

    assertThat(count(opener, Action.CLOSE, TICK_MS)).isEqualTo(1);
    assertThat(opener.silentMs()).isEqualTo(1_500);
  }

  @Test
  void openerSendsPulsesWhetherItReceivesAnythingOrNot() {
    assertThat(count(opener, Action.SEND_PULSE, 1_400)).isEqualTo(2);
  }

  @Test
  void acceptorRespondsOnlyToWhatItHasReceived() {
    assertThat(count(acceptor, Action.SEND_PULSE, 600)).isEqualTo(0);

    acceptor.recordReceived();

    assertThat(count(acceptor, Action.SEND_PULSE, 1_000)).isEqualTo(1);
  }

  @Test
  void bytesWithoutWholeMessageKeepConnectionOpen() {
    for (int second = 0; second < 60; second++) {
      opener.recordReceived();
      assertThat(count(opener, Action.CLOSE, 1_000)).isEqualTo(0);
    }
  }

  @Test
  void twoEndsKeepAnIdleConnectionOpen() {
    for (int step = 0; step < 3_000; step++) {
      nowMs += TICK_MS;
      deliver(tick(opener), acceptor);
      deliver(tick(acceptor), opener);
    }
  }

  private static void deliver(Action action, LinkLiveness receiver) {
    assertThat(action).isNotEqualTo(Action.CLOSE);
    if (action == Action.SEND_PULSE) {
      receiver.recordReceived();
    }
  }

  @Test
  void connectionThatWorksInOneDirectionOnlyIsClosedByBothEnds() {
    acceptor.recordReceived();
    opener.recordReceived();

    // Nothing reaches the acceptor any more.
    assertThat(count(acceptor, Action.CLOSE, 1_500)).isEqualTo(1);
    nowMs = 0;
    assertThat(count(opener, Action.CLOSE, 1_500)).isEqualTo(1);
  }

  @Test
  void timeInWhichThisProcessStoodStillIsNoSilence() {
    nowMs = 10_000;

    assertThat(tick(opener)).isEqualTo(Action.SEND_PULSE);
    assertThat(opener.silentMs()).isEqualTo(500);
  }

  @Test
  void timingsWithoutRoomForTwoPulsesAreRefused() {
    IllegalArgumentException thrown =
        assertThrows(IllegalArgumentException.class, () -> new Timings(500, 999));

    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo(
            "silence time-out 999 ns: expected at least two positive pulse intervals of 500 ns");
  }
}
