package org.waxwingbeam.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.operator.ConfigurationCodec;
import org.waxwingbeam.operator.ConfigurationEditor;
import org.waxwingbeam.operator.EditResult;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.operator.RoutingStateMachine;
import org.waxwingbeam.wire.control.AcceptedChange;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.EntryView;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.HistoryEntry;
import org.waxwingbeam.wire.replica.ChangeEntryView;
import org.waxwingbeam.wire.replica.ClaimBatch;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ProposedChange;
import org.waxwingbeam.wire.replica.StateSnapshot;

/**
 * The replicated state machine: applies the committed commands of the log in order. Replicas that
 * have applied the same commands hold the same state.
 *
 * <pre>{@code
 * ReplicatedState state = new ReplicatedState(claims);
 * CommandResult result = state.apply(command);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ReplicatedState {
  /** Maximum number of accepted changes that the history keeps. */
  public static final int MAX_HISTORY = 1_000;

  /**
   * Maximum size of the changes that the history keeps, in bytes. The newest change is kept however
   * large it is.
   */
  public static final long MAX_HISTORY_BYTES = 4 << 20;

  private final ClaimStateMachine claims;
  private final ChangeResponseCache changeResponses =
      new ChangeResponseCache(ChangeResponseCache.MAX_RESPONSES);
  private final Deque<HistoryEntry> history = new ArrayDeque<>();
  private final RoutingStateMachine routing = new RoutingStateMachine();
  private long historyBytes;
  private Configuration configuration = Configuration.EMPTY;
  private EntryView entryView = EntryView.getDefaultInstance();

  /**
   * Creates an empty state.
   *
   * @param claims the state machine of the claim table
   */
  public ReplicatedState(ClaimStateMachine claims) {
    this.claims = claims;
  }

  /** Applies one committed command and returns its result. */
  public CommandResult apply(Command command) {
    return switch (command.getKindCase()) {
      case CHANGE -> new CommandResult.Change(applyChange(command.getChange()));
      case CHANGE_ENTRY_VIEW -> changeEntryView(command.getChangeEntryView());
      case CLAIMS -> applyClaims(command.getClaims());
      case ROUTING -> new CommandResult.Routing(routing.apply(command.getRouting()));
      case NO_OPERATION, MEMBERSHIP, KIND_NOT_SET -> new CommandResult.Done();
    };
  }

  private ChangeAnswer applyChange(ProposedChange proposed) {
    return changeResponses.firstResponse(proposed.getRequest(), () -> decide(proposed));
  }

  private ChangeAnswer decide(ProposedChange proposed) {
    ChangeRequest request = proposed.getRequest();
    if (request.getBasedOn() != configuration.number()) {
      return response(ChangeAnswer.Result.CONFLICT)
          .addReasons(
              "based on number %d: expected the current number %d"
                  .formatted(request.getBasedOn(), configuration.number()))
          .build();
    }
    try {
      EditResult result =
          ConfigurationEditor.apply(
              configuration, ChangeCodec.decode(request.getChange()), proposed.getProposedMs());
      return switch (result) {
        case EditResult.Accepted accepted -> accept(proposed, accepted.configuration());
        case EditResult.Refused refused -> refuse(refused.reasons());
      };
    } catch (MalformedMessageException malformed) {
      return refuse(malformed.reasons());
    }
  }

  private ChangeAnswer accept(ProposedChange proposed, Configuration next) {
    configuration = next;
    addToHistory(
        HistoryEntry.newBuilder()
            .setNumber(next.number())
            .setChangeId(proposed.getRequest().getChangeId())
            .setOperator(proposed.getRequest().getOperator())
            .setAcceptedMs(proposed.getProposedMs())
            .setChange(proposed.getRequest().getChange())
            .build());
    return response(ChangeAnswer.Result.ACCEPTED).setNumber(next.number()).build();
  }

  private void addToHistory(HistoryEntry entry) {
    history.add(entry);
    historyBytes += entry.getSerializedSize();
    while (history.size() > MAX_HISTORY
        || (historyBytes > MAX_HISTORY_BYTES && history.size() > 1)) {
      historyBytes -= history.removeFirst().getSerializedSize();
    }
  }

  private ChangeAnswer refuse(List<String> reasons) {
    return response(ChangeAnswer.Result.REFUSED).addAllReasons(reasons).build();
  }

  private ChangeAnswer.Builder response(ChangeAnswer.Result result) {
    return ChangeAnswer.newBuilder().setResult(result).setCurrentNumber(configuration.number());
  }

  private CommandResult changeEntryView(ChangeEntryView change) {
    Map<String, EntryMember> members = new TreeMap<>();
    entryView.getMembersList().forEach(member -> members.put(member.getName(), member));
    change.getRemoveList().forEach(members::remove);
    change.getPutList().forEach(member -> members.put(member.getName(), member));
    entryView =
        EntryView.newBuilder()
            .setNumber(entryView.getNumber() + 1)
            .addAllMembers(members.values())
            .build();
    return new CommandResult.Done();
  }

  private CommandResult applyClaims(ClaimBatch batch) {
    return new CommandResult.Claims(
        batch.getCommandsList().stream()
            .map(command -> claims.apply(command, batch.getProposedMs()))
            .toList());
  }

  /** Returns the configuration after the newest accepted change. */
  public Configuration configuration() {
    return configuration;
  }

  /** Returns the configuration after the newest accepted change as a wire message. */
  public org.waxwingbeam.wire.configuration.Configuration configurationMessage() {
    return ConfigurationCodec.encode(configuration);
  }

  /** Returns the state machine of the routing state. */
  public RoutingStateMachine routing() {
    return routing;
  }

  /** Returns the newest entry view. */
  public EntryView entryView() {
    return entryView;
  }

  /**
   * Returns the changes in the history whose number is {@code fromNumber} or higher, oldest first.
   */
  public List<HistoryEntry> history(long fromNumber) {
    return history.stream().filter(entry -> entry.getNumber() >= fromNumber).toList();
  }

  /**
   * Returns the accepted changes that lead from one configuration to the newest.
   *
   * @param number the number of the configuration to start from
   * @return the changes in order; empty if the history no longer holds all of them
   */
  public List<AcceptedChange> changesAfter(long number) {
    boolean isComplete = !history.isEmpty() && history.getFirst().getNumber() <= number + 1;
    return isComplete
        ? history(number + 1).stream().map(ReplicatedState::acceptedChange).toList()
        : List.of();
  }

  private static AcceptedChange acceptedChange(HistoryEntry entry) {
    return AcceptedChange.newBuilder()
        .setNumber(entry.getNumber())
        .setAcceptedMs(entry.getAcceptedMs())
        .setChange(entry.getChange())
        .build();
  }

  /** Returns a snapshot of the whole state. */
  public StateSnapshot snapshot() {
    return StateSnapshot.newBuilder()
        .setConfiguration(configurationMessage())
        .setEntryView(entryView)
        .addAllHistory(history)
        .addAllAnswers(changeResponses.all())
        .setClaims(claims.snapshot())
        .setRouting(routing.snapshot())
        .build();
  }

  /**
   * Replaces the whole state by a snapshot.
   *
   * @throws MalformedMessageException if the snapshot holds a configuration that is not valid
   */
  public void restore(StateSnapshot snapshot) throws MalformedMessageException {
    configuration = ConfigurationCodec.decode(snapshot.getConfiguration());
    entryView = snapshot.getEntryView();
    history.clear();
    historyBytes = 0;
    snapshot.getHistoryList().forEach(this::addToHistory);
    changeResponses.restore(snapshot.getAnswersList());
    claims.restore(snapshot.getClaims());
    routing.restore(snapshot.getRouting());
  }
}
