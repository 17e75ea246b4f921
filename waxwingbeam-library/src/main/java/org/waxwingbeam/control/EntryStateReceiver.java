package org.waxwingbeam.control;

import java.util.List;
import java.util.function.Consumer;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.operator.ConfigurationCodec;
import org.waxwingbeam.operator.ConfigurationEditor;
import org.waxwingbeam.operator.EditResult;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.AcceptedChange;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryMember;

/**
 * Applies, at an entry instance, the messages of the control replicas. Neither the configuration
 * nor the entry view is ever replaced by an older one.
 *
 * @since 0.1.0
 */
public final class EntryStateReceiver {
  private final AppliedConfiguration applied;
  private final LeaseTracker leases;
  private final Consumer<Configuration> listener;
  private EntryView view = EntryView.EMPTY;

  /**
   * Creates the receiver.
   *
   * @param applied holds the configuration
   * @param leases tracks the leases
   * @param listener called with each newly applied configuration
   */
  public EntryStateReceiver(
      AppliedConfiguration applied, LeaseTracker leases, Consumer<Configuration> listener) {
    this.applied = applied;
    this.leases = leases;
    this.listener = listener;
  }

  /**
   * Applies a configuration, a change, a view or a lease; ignores other messages.
   *
   * @param nowNanos the current time
   * @throws MalformedMessageException if the message does not hold a valid configuration or change
   * @throws ChangeGapException if a change does not follow the applied configuration
   */
  public void receive(long nowNanos, ControlMessage message)
      throws MalformedMessageException, ChangeGapException {
    switch (message.getKindCase()) {
      case CONFIGURATION -> apply(ConfigurationCodec.decode(message.getConfiguration()));
      case CHANGE -> apply(message.getChange());
      case VIEW -> replaceView(message.getView());
      case LEASE -> leases.leaseReceived(nowNanos, message.getLease());
      default -> {}
    }
  }

  private void apply(Configuration configuration) {
    if (applied.applyIfNewer(configuration)) {
      listener.accept(configuration);
    }
  }

  private void apply(AcceptedChange message) throws MalformedMessageException, ChangeGapException {
    Configuration before = applied.current();
    if (message.getNumber() <= before.number()) {
      return;
    }
    if (message.getNumber() != before.number() + 1) {
      throw new ChangeGapException(before.number(), message.getNumber());
    }
    EditResult result =
        ConfigurationEditor.apply(
            before, ChangeCodec.decode(message.getChange()), message.getAcceptedMs());
    switch (result) {
      case EditResult.Accepted accepted -> apply(accepted.configuration());
      case EditResult.Refused refused ->
          throw new ChangeGapException(before.number(), message.getNumber());
    }
  }

  private void replaceView(org.waxwingbeam.wire.control.EntryView message) {
    if (message.getNumber() > view.number()) {
      List<EntryView.Member> members =
          message.getMembersList().stream().map(EntryStateReceiver::member).toList();
      view = new EntryView(message.getNumber(), members);
    }
  }

  private static EntryView.Member member(EntryMember message) {
    return new EntryView.Member(
        new InstanceName(message.getName()),
        new DataCentreName(message.getDataCentre()),
        new Endpoint(message.getPeersHost(), message.getPeersPort()));
  }

  /** Returns the newest entry view. */
  public EntryView view() {
    return view;
  }

  /** Thrown for a change that cannot be applied to the current configuration. */
  public static final class ChangeGapException extends Exception {
    private static final long serialVersionUID = 1L;

    ChangeGapException(long applied, long received) {
      super(
          "change %d cannot follow configuration %d: expected change %d"
              .formatted(received, applied, applied + 1));
    }
  }
}
