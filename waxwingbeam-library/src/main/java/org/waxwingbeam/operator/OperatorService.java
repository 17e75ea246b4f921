package org.waxwingbeam.operator;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.waxwingbeam.control.EntryRegistry;
import org.waxwingbeam.replica.CommandLog;
import org.waxwingbeam.replica.CommandResult;
import org.waxwingbeam.replica.ProposalOutcome;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.History;
import org.waxwingbeam.wire.operator.HistoryEntry;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ProposedChange;

/**
 * Handles operators' requests at the leading control replica: proposes changes to the log and
 * reports when they are in force at every live entry instance.
 *
 * @since 0.1.0
 */
public final class OperatorService {
  private static final int MAX_CHANGE_ID_LENGTH = 64;

  private final ReplicatedState state;
  private final CommandLog log;
  private final EntryRegistry registry;
  private final LongSupplier wallMs;
  private final TreeMap<Long, Long> inForceMsByNumber = new TreeMap<>();
  private long inForceNumber;

  /**
   * Creates the service.
   *
   * @param state the replicated state
   * @param log the log to which changes are proposed
   * @param registry tracks which configurations the entry instances have confirmed
   * @param wallMs supplies the current time in milliseconds since the epoch
   */
  public OperatorService(
      ReplicatedState state, CommandLog log, EntryRegistry registry, LongSupplier wallMs) {
    this.state = state;
    this.log = log;
    this.registry = registry;
    this.wallMs = wallMs;
  }

  /**
   * Submits a change of the configuration.
   *
   * @param request the change
   * @param receiver called once with the outcome; {@link ChangeOutcome.NotLeader} if the request
   *     must be sent to another replica
   */
  public void submitChange(ChangeRequest request, Consumer<ChangeOutcome> receiver) {
    int length = request.getChangeId().length();
    if (length == 0 || length > MAX_CHANGE_ID_LENGTH) {
      receiver.accept(
          refused(
              "change id '%s': expected 1 to %d characters"
                  .formatted(request.getChangeId(), MAX_CHANGE_ID_LENGTH)));
      return;
    }
    ProposedChange proposed =
        ProposedChange.newBuilder().setRequest(request).setProposedMs(wallMs.getAsLong()).build();
    log.propose(
        Command.newBuilder().setChange(proposed).build(),
        outcome -> receiver.accept(toChangeOutcome(outcome)));
  }

  private static ChangeOutcome toChangeOutcome(ProposalOutcome outcome) {
    return switch (outcome) {
      case ProposalOutcome.Applied(CommandResult.Change change) ->
          new ChangeOutcome.Decided(change.answer());
      case ProposalOutcome.Applied other -> unknown("the log gave another command's result");
      case ProposalOutcome.NotLeader none -> new ChangeOutcome.NotLeader();
      case ProposalOutcome.Refused refused -> refused(refused.reason());
      case ProposalOutcome.Unknown none ->
          unknown("the log did not commit the change in time; send it again with the same id");
    };
  }

  private static ChangeOutcome refused(String reason) {
    return new ChangeOutcome.Decided(
        ChangeAnswer.newBuilder()
            .setResult(ChangeAnswer.Result.REFUSED)
            .addReasons(reason)
            .build());
  }

  private static ChangeOutcome unknown(String reason) {
    return new ChangeOutcome.Decided(
        ChangeAnswer.newBuilder()
            .setResult(ChangeAnswer.Result.UNKNOWN)
            .addReasons(reason)
            .build());
  }

  /** The outcome of an operator's change. */
  public sealed interface ChangeOutcome {
    /**
     * The change was accepted or refused, or it is unknown whether it was.
     *
     * @param response the response to the operator
     */
    record Decided(ChangeAnswer response) implements ChangeOutcome {}

    /** This replica does not lead; the change was not appended to the log. */
    record NotLeader() implements ChangeOutcome {}
  }

  /**
   * Records the time for changes that have come into force since the last call.
   *
   * @param nowNanos the current time on the monotonic clock
   */
  public void tick(long nowNanos) {
    long newest = state.configuration().number();
    long reached = Math.min(newest, registry.inForceNumber(nowNanos, newest));
    for (long number = inForceNumber + 1; number <= reached; number++) {
      inForceMsByNumber.put(number, wallMs.getAsLong());
    }
    inForceNumber = Math.max(inForceNumber, reached);
    inForceMsByNumber.headMap(inForceNumber - ReplicatedState.MAX_HISTORY).clear();
  }

  /**
   * Returns whether a change is in force, and which entry instances have not confirmed it.
   *
   * @param nowNanos the current time on the monotonic clock
   * @param number the number of the change
   */
  public InForce inForce(long nowNanos, long number) {
    tick(nowNanos);
    List<String> unconfirmed = registry.unconfirmed(nowNanos, number);
    boolean accepted = number <= state.configuration().number();
    return InForce.newBuilder()
        .setInForce(accepted && number <= inForceNumber)
        .setInForceMs(inForceMsByNumber.getOrDefault(number, 0L))
        .addAllUnconfirmed(number <= inForceNumber ? List.of() : unconfirmed)
        .build();
  }

  /** Returns the changes in the history whose number is {@code fromNumber} or higher. */
  public History history(long nowNanos, long fromNumber) {
    tick(nowNanos);
    Map<Long, Long> times = inForceMsByNumber;
    return History.newBuilder()
        .addAllEntries(
            state.history(fromNumber).stream()
                .map(entry -> withInForce(entry, times.getOrDefault(entry.getNumber(), 0L)))
                .toList())
        .build();
  }

  private static HistoryEntry withInForce(HistoryEntry entry, long inForceMs) {
    return entry.toBuilder().setInForceMs(inForceMs).build();
  }

  /** Returns the newest accepted configuration. */
  public org.waxwingbeam.wire.configuration.Configuration configuration() {
    return state.configurationMessage();
  }
}
