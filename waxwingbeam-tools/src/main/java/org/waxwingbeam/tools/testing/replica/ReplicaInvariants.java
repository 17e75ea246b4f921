package org.waxwingbeam.tools.testing.replica;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.replica.LogEntry;

/** Checks the invariants of all replicas and of all responses to operators over one run. */
final class ReplicaInvariants {
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<Long, LogEntry> applied = new HashMap<>();
  private final Map<Long, String> acceptedNumbers = new HashMap<>();
  private final Map<String, ChangeAnswer> firstResponses = new HashMap<>();
  private long highestSeen;

  /** Checks that the replica does not lead a term that has another leader. */
  void observe(Replica replica) {
    if (replica.role() == ReplicaRole.LEADER) {
      String known = leaders.putIfAbsent(replica.term(), replica.id());
      InvariantViolation.check(
          known == null || known.equals(replica.id()),
          () ->
              "term %d has two leaders: %s and %s".formatted(replica.term(), known, replica.id()));
    }
  }

  /** Checks that the replica applies the same entry at an index as the others. */
  void applied(String replica, LogEntry entry) {
    LogEntry known = applied.putIfAbsent(entry.getIndex(), entry);
    InvariantViolation.check(
        known == null || known.equals(entry),
        () ->
            "replica %s applied a different entry at index %d: expected %s, got %s"
                .formatted(replica, entry.getIndex(), known, entry));
  }

  /** Returns the highest configuration number that any client has received. */
  long highestSeen() {
    return highestSeen;
  }

  /** Checks that a leader's read does not return a lower number than an earlier read or response. */
  void read(long number) {
    seen(number, highestSeen);
  }

  /**
   * Checks a response to an operator.
   *
   * @param changeId the change's id
   * @param answer the response
   * @param floor the highest configuration number that any client had received when the change was
   *     first sent
   */
  void answered(String changeId, ChangeAnswer answer, long floor) {
    ChangeAnswer first = firstResponses.putIfAbsent(changeId, answer);
    InvariantViolation.check(
        first == null || first.equals(answer),
        () ->
            "change %s got a second response: expected %s, got %s"
                .formatted(changeId, first, answer));
    switch (answer.getResult()) {
      case ACCEPTED -> accepted(changeId, answer.getNumber(), floor);
      case CONFLICT -> seen(answer.getCurrentNumber(), floor);
      default ->
          throw new InvariantViolation(
              "change %s: expected ACCEPTED or CONFLICT, got %s".formatted(changeId, answer));
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
        () ->
            "change %s was accepted as number %d, not above the earlier number %d"
                .formatted(changeId, number, floor));
    highestSeen = Math.max(highestSeen, number);
  }

  private void seen(long number, long floor) {
    InvariantViolation.check(
        number >= floor,
        () -> "stale configuration number %d: expected at least %d".formatted(number, floor));
    highestSeen = Math.max(highestSeen, number);
  }

  int acceptedChanges() {
    return acceptedNumbers.size();
  }

  int terms() {
    return leaders.size();
  }
}
