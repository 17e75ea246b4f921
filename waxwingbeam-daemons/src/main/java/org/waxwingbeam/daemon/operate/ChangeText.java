package org.waxwingbeam.daemon.operate;

import org.waxwingbeam.wire.operator.Change;

/** Describes changes in one line, for the history. */
final class ChangeText {
  private ChangeText() {}

  static String describe(Change change) {
    return switch (change.getKindCase()) {
      case PUT_TEMPLATE -> "put template " + change.getPutTemplate().getName();
      case REMOVE_TEMPLATE -> "remove template " + change.getRemoveTemplate();
      case PUT_ACCOUNT -> "put client account " + change.getPutAccount().getName();
      case REMOVE_ACCOUNT -> "remove client account " + change.getRemoveAccount();
      case TAKE_DATA_CENTRE_OUT ->
          "take data centre %s out".formatted(change.getTakeDataCentreOut());
      case BRING_DATA_CENTRE_IN ->
          "bring data centre %s in".formatted(change.getBringDataCentreIn());
      case MOVE_VERSION ->
          "move service %s to %s"
              .formatted(change.getMoveVersion().getService(), change.getMoveVersion().getTo());
      case ADVANCE_MOVE ->
          "advance service %s to share %d of 1000 of %s"
              .formatted(
                  change.getAdvanceMove().getService(),
                  change.getAdvanceMove().getSharePerMille(),
                  change.getAdvanceMove().getTo());
      case ROLL_BACK_MOVE ->
          "roll service %s back: %s"
              .formatted(
                  change.getRollBackMove().getService(), change.getRollBackMove().getReason());
      case KIND_NOT_SET -> "unknown change";
    };
  }
}
