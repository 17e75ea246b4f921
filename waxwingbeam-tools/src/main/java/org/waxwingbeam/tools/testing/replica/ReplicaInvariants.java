package org.waxwingbeam.tools.testing.replica;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.replica.LogEntry;

/** Checks, over one whole run, what must hold among all replicas and in all answers. */
final class ReplicaInvariants {
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<Long, LogEntry> applied = new HashMap<>();
  private final Map<Long, String> acceptedNumbers = new HashMap<>();
  private final Map<String, ChangeAnswer> firstResponses = new HashMap<>();
  private long highestSeen;

  /** Checks that no term has two leaders. */
  void observe(Replica replica) {
    if (replica.role() == ReplicaRole.LEADER) {
      String known = leaders.putIfAbsent(replica.term(), replica.id());
      InvariantViolation.check(
          known == null || known.equals(replica.id()),
          () ->
              "term %d has two leaders: %s and %s".formatted(replica.term(), known, replica.id()));
    }
  }

  /** Checks that every replica applies the same entry at an index. */
  void applied(String replica, LogEntry entry) {
    LogEntry known = applied.putIfAbsent(entry.getIndex(), entry);
    InvariantViolation.check(
        known == null || known.equals(entry),
        () -> "replica %s applied another entry at index %d".formatted(replica, entry.getIndex()));
  }

  /** Returns the highest configuration number that anybody was shown. */
  long highestSeen() {
    return highestSeen;
  }

  /** Checks a number that a leader showed to a reader. */
  void read(long number) {
    seen(number, highestSeen);
  }

  /**
   * Checks an answer to an operator.
   *
   * @param changeId the change's id
   * @param answer the answer
   * @param floor what anybody had been shown when the change was first sent
   */
  void answered(String changeId, ChangeAnswer answer, long floor) {
    ChangeAnswer first = firstResponses.putIfAbsent(changeId, answer);
    InvariantViolation.check(
        first == null || first.equals(answer),
        () -> "change %s got a second answer %s after %s".formatted(changeId, answer, first));
    switch (answer.getResult()) {
      case ACCEPTED -> accepted(changeId, answer.getNumber(), floor);
      case CONFLICT -> seen(answer.getCurrentNumber(), floor);
      default -> throw new InvariantViolation("change %s got %s".formatted(changeId, answer));
    }
  }

  private void accepted(String changeId, long number, long floor) {
    String known = acceptedNumbers.putIfAbsent(number, changeId);
    InvariantViolation.check(
        known == null || known.equals(changeId),
        () ->
            "changes %s and %s were both accepted as number %d".formatted(known, changeId, number));
    InvariantViolation.check(
        number > floor,
        () -> "change %s was accepted as %d after %d was seen".formatted(changeId, number, floor));
    highestSeen = Math.max(highestSeen, number);
  }

  private void seen(long number, long floor) {
    InvariantViolation.check(
        number >= floor, () -> "number %d was shown after %d".formatted(number, floor));
    highestSeen = Math.max(highestSeen, number);
  }

  int acceptedChanges() {
    return acceptedNumbers.size();
  }

  int terms() {
    return leaders.size();
  }
}
