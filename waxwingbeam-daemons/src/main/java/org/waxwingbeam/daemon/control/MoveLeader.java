package org.waxwingbeam.daemon.control;

import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.operator.OperatorService;
import org.waxwingbeam.replica.CommandLog;
import org.waxwingbeam.replica.ReplicatedState;
import org.waxwingbeam.target.version.MoveSupervisors;
import org.waxwingbeam.target.version.SampleCodec;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.versions.Evidence;

/**
 * Decides on version moves while this replica is the leader, and submits the changes that they
 * need. Runs on the replica's event loop.
 */
final class MoveLeader {
  private static final EventLog LOG = new EventLog(MoveLeader.class);
  private static final String OPERATOR = "waxwingbeam";

  private final ReplicatedState state;
  private final CommandLog commandLog;
  private final OperatorService operatorService;
  private final MoveSupervisors supervisors = new MoveSupervisors();
  private boolean proposing;

  MoveLeader(ReplicatedState state, CommandLog commandLog, OperatorService operatorService) {
    this.state = state;
    this.commandLog = commandLog;
    this.operatorService = operatorService;
  }

  void addReport(Evidence message) {
    try {
      supervisors.addReport(System.currentTimeMillis(), SampleCodec.decode(message));
    } catch (IllegalArgumentException malformed) {
      LOG.warn("evidence-refused", "entry", message.getEntry(), "reason", malformed.getMessage());
    }
  }

  void tick() {
    if (!commandLog.holdsLeaderLease(System.nanoTime())) {
      supervisors.clear();
      return;
    }
    long now = System.currentTimeMillis();
    supervisors
        .tick(now, state.configuration(), state.entryView().getMembersCount())
        .forEach(change -> propose(now, change));
  }

  /**
   * Submits one change at a time. A change that is not accepted is decided on again at a later
   * tick.
   */
  private void propose(long nowMs, Change change) {
    if (proposing) {
      return;
    }
    proposing = true;
    long number = state.configuration().number();
    LOG.info("move-decided", "number", number, "change", change);
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId("move-%d-%d".formatted(number, nowMs))
            .setBasedOn(number)
            .setOperator(OPERATOR)
            .setChange(ChangeCodec.encode(change))
            .build();
    operatorService.submitChange(request, outcome -> proposing = false);
  }
}
