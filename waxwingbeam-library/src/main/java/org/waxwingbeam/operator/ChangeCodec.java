package org.waxwingbeam.operator;

import java.util.Optional;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.wire.operator.AdvanceMove;
import org.waxwingbeam.wire.operator.MoveVersion;
import org.waxwingbeam.wire.operator.RollBackMove;

/**
 * Encodes changes as wire messages and decodes them.
 *
 * @since 0.1.0
 */
public final class ChangeCodec {
  private ChangeCodec() {}

  /** Encodes a change. */
  public static org.waxwingbeam.wire.operator.Change encode(Change change) {
    var message = org.waxwingbeam.wire.operator.Change.newBuilder();
    switch (change) {
      case Change.PutTemplate put ->
          message.setPutTemplate(ConfigurationCodec.encode(put.template()));
      case Change.RemoveTemplate remove -> message.setRemoveTemplate(remove.template().value());
      case Change.PutAccount put -> message.setPutAccount(ConfigurationCodec.encode(put.account()));
      case Change.RemoveAccount remove -> message.setRemoveAccount(remove.account().value());
      case Change.TakeDataCentreOut takeOut ->
          message.setTakeDataCentreOut(takeOut.dataCentre().value());
      case Change.BringDataCentreIn bringIn ->
          message.setBringDataCentreIn(bringIn.dataCentre().value());
      case Change.MoveVersion move -> message.setMoveVersion(encode(move));
      case Change.AdvanceMove advance -> message.setAdvanceMove(encode(advance));
      case Change.RollBackMove rollBack -> message.setRollBackMove(encode(rollBack));
    }
    return message.build();
  }

  private static MoveVersion encode(Change.MoveVersion move) {
    return MoveVersion.newBuilder()
        .setService(move.service().value())
        .setFrom(move.from().map(VersionName::value).orElse(""))
        .setTo(move.to().value())
        .setDeadlineMs(move.deadlineMs())
        .build();
  }

  private static AdvanceMove encode(Change.AdvanceMove advance) {
    return AdvanceMove.newBuilder()
        .setService(advance.service().value())
        .setTo(advance.to().value())
        .setSharePerMille(advance.sharePerMille())
        .setState(ConfigurationCodec.encode(advance.state()))
        .build();
  }

  private static RollBackMove encode(Change.RollBackMove rollBack) {
    return RollBackMove.newBuilder()
        .setService(rollBack.service().value())
        .setReason(rollBack.reason())
        .build();
  }

  /**
   * Decodes a change.
   *
   * @throws MalformedMessageException if a name, parameter or state in the message is not valid, or
   *     if the message holds no change
   */
  public static Change decode(org.waxwingbeam.wire.operator.Change message)
      throws MalformedMessageException {
    MessageDecoder decoder = new MessageDecoder();
    return decoder.finish(decode(decoder, message));
  }

  private static Optional<Change> decode(
      MessageDecoder decoder, org.waxwingbeam.wire.operator.Change message) {
    return switch (message.getKindCase()) {
      case PUT_TEMPLATE -> decoder.template(message.getPutTemplate()).map(Change.PutTemplate::new);
      case REMOVE_TEMPLATE ->
          decoder
              .name(TemplateName::new, message.getRemoveTemplate())
              .map(Change.RemoveTemplate::new);
      case PUT_ACCOUNT -> decoder.account(message.getPutAccount()).map(Change.PutAccount::new);
      case REMOVE_ACCOUNT ->
          decoder.name(AccountName::new, message.getRemoveAccount()).map(Change.RemoveAccount::new);
      case TAKE_DATA_CENTRE_OUT ->
          decoder
              .name(DataCentreName::new, message.getTakeDataCentreOut())
              .map(Change.TakeDataCentreOut::new);
      case BRING_DATA_CENTRE_IN ->
          decoder
              .name(DataCentreName::new, message.getBringDataCentreIn())
              .map(Change.BringDataCentreIn::new);
      case MOVE_VERSION -> moveVersion(decoder, message.getMoveVersion());
      case ADVANCE_MOVE -> advanceMove(decoder, message.getAdvanceMove());
      case ROLL_BACK_MOVE -> rollBackMove(decoder, message.getRollBackMove());
      case KIND_NOT_SET -> {
        decoder.add(new Fault("change", "", "one of the kinds of change"));
        yield Optional.empty();
      }
    };
  }

  private static Optional<Change> moveVersion(MessageDecoder decoder, MoveVersion message) {
    Optional<ServiceName> service = decoder.name(ServiceName::new, message.getService());
    Optional<VersionName> to = decoder.name(VersionName::new, message.getTo());
    Optional<VersionName> from =
        message.getFrom().isEmpty()
            ? Optional.empty()
            : decoder.name(VersionName::new, message.getFrom());
    return service.flatMap(
        name ->
            to.map(
                version -> new Change.MoveVersion(name, from, version, message.getDeadlineMs())));
  }

  private static Optional<Change> advanceMove(MessageDecoder decoder, AdvanceMove message) {
    Optional<ServiceName> service = decoder.name(ServiceName::new, message.getService());
    Optional<VersionName> to = decoder.name(VersionName::new, message.getTo());
    int share = message.getSharePerMille();
    return decoder
        .state(message.getState())
        .flatMap(
            state ->
                service.flatMap(
                    name ->
                        to.map(version -> new Change.AdvanceMove(name, version, share, state))));
  }

  private static Optional<Change> rollBackMove(MessageDecoder decoder, RollBackMove message) {
    return decoder
        .name(ServiceName::new, message.getService())
        .map(service -> new Change.RollBackMove(service, message.getReason()));
  }
}
