package org.waxwingbeam.tools.sessions;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.waxwingbeam.control.ClaimTable;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.replica.CommandResult;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.replica.ClaimBatch;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ProposedChange;

/** The state of the control replicas, which accepts every command at once while it is reachable. */
final class SessionControl {
  private ReplicatedState state = new ReplicatedState(new ClaimTable());
  private boolean reachable = true;

  Configuration configuration() {
    return state.configuration();
  }

  void setReachable(boolean value) {
    reachable = value;
  }

  /** Restores the state from a snapshot, as after a restart of every replica. */
  void restart() throws MalformedMessageException {
    ReplicatedState restored = new ReplicatedState(new ClaimTable());
    restored.restore(state.snapshot());
    state = restored;
  }

  Optional<ChangeAnswer> submitChange(long nowMs, String id, long basedOn, Change change) {
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId(id)
            .setBasedOn(basedOn)
            .setOperator("operator")
            .setChange(ChangeCodec.encode(change))
            .build();
    Command command =
        Command.newBuilder()
            .setChange(ProposedChange.newBuilder().setRequest(request).setProposedMs(nowMs))
            .build();
    return apply(command).map(result -> ((CommandResult.Change) result).answer());
  }

  /** Applies one command to the claim table, or returns empty if there is no quorum. */
  Optional<ByteString> applyClaimCommand(long nowMs, ByteString claim) {
    Command command =
        Command.newBuilder()
            .setClaims(ClaimBatch.newBuilder().addCommands(claim).setProposedMs(nowMs))
            .build();
    return apply(command).map(result -> ((CommandResult.Claims) result).answers().getFirst());
  }

  private Optional<CommandResult> apply(Command command) {
    return reachable ? Optional.of(state.apply(command)) : Optional.empty();
  }
}
