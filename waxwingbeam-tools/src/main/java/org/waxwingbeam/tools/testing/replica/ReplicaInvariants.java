package org.waxwingbeam.tools.testing.replica;

import java.util.HashMap;
import java.util.Map;
import org.waxwingbeam.replica.Replica;
import org.waxwingbeam.replica.ReplicaRole;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.replica.LogEntry;

/** Checks the invariants of all replicas and of all responses to operators over one run. */
final class ReplicaInvariants {
  private final Map<Long, String> leadersByTerm = new HashMap<>();
  private final Map<Long, LogEntry> appliedEntries = new HashMap<>();
  private final Map<Long, String> acceptedNumbers = new HashMap<>();
  private final Map<String, ChangeAnswer> firstResponses = new HashMap<>();
  private long highestNumber;

  /** Checks that the replica does not lead a term that has another leader. */
  void checkSingleLeader(Replica replica) {
    if (replica.role() == ReplicaRole.LEADER) {
      String known = leadersByTerm.putIfAbsent(replica.term(), replica.id());
      InvariantViolation.check(
          known == null || known.equals(replica.id()),
          () ->
              "term %d has two leaders: %s and %s".formatted(replica.term(), known, replica.id()));
    }
  }

  /** Checks that the replica applies the same entry at an index as the others. */
  void checkApplied(String replica, LogEntry entry) {
    LogEntry known = appliedEntries.putIfAbsent(entry.getIndex(), entry);
    InvariantViolation.check(
        known == null || known.equals(entry),
        () ->
            "replica %s applied a different entry at index %d: expected %s, got %s"
                .formatted(replica, entry.getIndex(), known, entry));
  }

  /** Returns the highest configuration number that any client has received. */
  long highestNumber() {
    return highestNumber;
  }

  /**
   * Checks that a leader's read does not return a lower number than an earlier read or response.
   */
  void checkRead(long number) {
    checkNotStale(number, highestNumber);
  }

  /**
   * Checks a response to an operator.
   *
   * @param changeId the change's id
   * @param response the response
   * @param minNumber the highest configuration number that any client had received when the change
   *     was first sent
   */
  void checkResponse(String changeId, ChangeAnswer response, long minNumber) {
    ChangeAnswer first = firstResponses.putIfAbsent(changeId, response);
    InvariantViolation.check(
        first == null || first.equals(response),
        () ->
            "change %s got a second response: expected %s, got %s"
                .formatted(changeId, first, response));
    switch (response.getResult()) {
      case ACCEPTED -> checkAccepted(changeId, response.getNumber(), minNumber);
      case CONFLICT -> checkNotStale(response.getCurrentNumber(), minNumber);
      default ->
          throw new InvariantViolation(
              "change %s: expected ACCEPTED or CONFLICT, got %s".formatted(changeId, response));
    }
  }

  private void checkAccepted(String changeId, long number, long minNumber) {
    String known = acceptedNumbers.putIfAbsent(number, changeId);
    InvariantViolation.check(
        known == null || known.equals(changeId),
        () ->
            "changes %s and %s were both accepted as number %d".formatted(known, changeId, number));
    InvariantViolation.check(
        number > minNumber,
        () ->
            "change %s was accepted as number %d, not above the earlier number %d"
                .formatted(changeId, number, minNumber));
    highestNumber = Math.max(highestNumber, number);
  }

  private void checkNotStale(long number, long minNumber) {
    InvariantViolation.check(
        number >= minNumber,
        () -> "stale configuration number %d: expected at least %d".formatted(number, minNumber));
    highestNumber = Math.max(highestNumber, number);
  }

  int acceptedChanges() {
    return acceptedNumbers.size();
  }

  int terms() {
    return leadersByTerm.size();
  }
}
