package org.waxwingbeam.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/**
 * Requests to confirm that this replica still leads. A lease alone does not show it: a machine that
 * was suspended goes on with a clock that has not counted the time.
 */
final class PendingConfirmations {
  private List<Confirmation> pending = new ArrayList<>();

  private record Confirmation(long askedNanos, Consumer<Boolean> receiver) {}

  void add(long nowNanos, Consumer<Boolean> receiver) {
    pending.add(new Confirmation(nowNanos, receiver));
  }

  /**
   * Confirms the requests that a majority has answered.
   *
   * @param confirmedSince whether a majority has replied to messages that were sent after a time
   */
  void confirm(LongPredicate confirmedSince) {
    List<Confirmation> confirmed =
        pending.stream().filter(each -> confirmedSince.test(each.askedNanos())).toList();
    pending.removeAll(confirmed);
    confirmed.forEach(each -> each.receiver().accept(true));
  }

  /** Denies all requests, because this replica no longer leads. */
  void deny() {
    List<Confirmation> denied = pending;
    pending = new ArrayList<>();
    denied.forEach(each -> each.receiver().accept(false));
  }
}
