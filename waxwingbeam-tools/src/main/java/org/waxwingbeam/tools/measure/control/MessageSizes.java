package org.waxwingbeam.tools.measure.control;

import com.google.protobuf.Message;
import java.util.List;
import java.util.stream.IntStream;
import org.waxwingbeam.tools.measure.MeasurementOptions;
import org.waxwingbeam.tools.measure.MeasurementReport;
import org.waxwingbeam.tools.measure.MeasurementReport.Table;
import org.waxwingbeam.wire.control.AcceptedChange;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.EntryMessage;
import org.waxwingbeam.wire.control.EntryView;
import org.waxwingbeam.wire.control.Heartbeat;
import org.waxwingbeam.wire.control.Lease;
import org.waxwingbeam.wire.operator.ChangeRequest;

/**
 * Computes the sizes of the messages between control replicas and entry instances, framing
 * included.
 */
final class MessageSizes implements ControlMeasurement.Part {
  private static final int FRAME_BYTES = 4;
  private static final List<Integer> ENTRY_COUNTS = List.of(16, 64, 256);

  @Override
  public MeasurementReport run(MeasurementOptions options) {
    List<List<String>> rows =
        ENTRY_COUNTS.stream()
            .map(
                entries ->
                    List.of(
                        Integer.toString(entries),
                        bytes(change()),
                        bytes(view(entries)),
                        bytes(heartbeat()),
                        bytes(lease())))
            .toList();
    return new MeasurementReport(
        List.of(
            new Table(
                "Bytes of one message on the entries' stream",
                List.of("entries", "change", "view", "heartbeat", "lease"),
                rows)),
        List.of());
  }

  private static String bytes(Message message) {
    return Integer.toString(FRAME_BYTES + message.getSerializedSize());
  }

  private static ControlMessage change() {
    ChangeRequest request = ChangeSamples.request(1_000);
    return ControlMessage.newBuilder()
        .setChange(
            AcceptedChange.newBuilder()
                .setNumber(1_001)
                .setAcceptedMs(1_700_000_000_000L)
                .setChange(request.getChange()))
        .build();
  }

  private static ControlMessage view(int entries) {
    return ControlMessage.newBuilder()
        .setView(
            EntryView.newBuilder()
                .setNumber(1_000)
                .addAllMembers(IntStream.range(0, entries).mapToObj(MessageSizes::member).toList()))
        .build();
  }

  private static EntryMember member(int number) {
    return EntryMember.newBuilder()
        .setName("entry-" + number)
        .setDataCentre("north")
        .setPeersHost("10.0.0.1")
        .setPeersPort(7_000)
        .setBootId(1_700_000_000_000L)
        .build();
  }

  private static EntryMessage heartbeat() {
    return EntryMessage.newBuilder()
        .setHeartbeat(
            Heartbeat.newBuilder()
                .setSequence(100_000)
                .setAppliedNumber(1_001)
                .setViewNumber(1_000))
        .build();
  }

  private static ControlMessage lease() {
    return ControlMessage.newBuilder()
        .setLease(
            Lease.newBuilder()
                .setSequence(100_000)
                .setDurationMs(2_500)
                .setNewestNumber(1_001)
                .setViewNumber(1_000)
                .setSettledViewNumber(1_000))
        .build();
  }
}
