package org.waxwingbeam.daemon.entry;

import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.net.ControlClient;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.target.Dispatcher;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.target.version.MoveSelector;
import org.waxwingbeam.target.version.RecordingDispatcher;
import org.waxwingbeam.target.version.SampleCodec;
import org.waxwingbeam.target.version.SampleRecorder;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * Takes part in version moves at an entry instance: selects versions for its dispatcher and reports
 * samples to the control replicas.
 */
final class VersionMoveClient {
  static final long TICK_MS = 50;

  private static final long RESEND_PERIOD_NANOS = 2_000_000_000;
  private static final int PHASE_COUNT = 1_000;

  private final ControlClient controlClient;
  private final MoveSelector selector;
  private final SampleRecorder recorder;
  private long leaseValidUntilNanos;
  private long lastResendNanos;

  VersionMoveClient(InstanceName entry, AppliedConfiguration applied, ControlClient controlClient) {
    this.controlClient = controlClient;
    int phase = Math.floorMod(entry.value().hashCode(), PHASE_COUNT);
    this.lastResendNanos = System.nanoTime();
    this.selector = new MoveSelector(applied::current, phase, PHASE_COUNT, lastResendNanos);
    this.recorder = new SampleRecorder(entry, applied::current, selector);
  }

  VersionSelector selector() {
    return selector;
  }

  Dispatcher recordingDispatcher(Dispatcher dispatcher, TargetRegistry registry) {
    return new RecordingDispatcher(dispatcher, registry, recorder);
  }

  /** Passes lease renewals to the selector and sends the sample reports that are due. */
  void tick() {
    long now = System.nanoTime();
    long validUntil = controlClient.leasedView().validUntilNanos();
    if (validUntil != leaseValidUntilNanos) {
      leaseValidUntilNanos = validUntil;
      selector.onLeaseRenewed(now);
    }
    if (now - lastResendNanos >= RESEND_PERIOD_NANOS) {
      lastResendNanos = now;
      recorder.resendAll();
    }
    recorder.drain(now).forEach(report -> controlClient.report(SampleCodec.encode(report)));
  }
}
