package org.waxwingbeam.operator.net;

import java.util.Optional;
import java.util.function.Consumer;
import org.waxwingbeam.operator.OperatorService.ChangeOutcome;
import org.waxwingbeam.wire.configuration.Configuration;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.History;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.operator.ReplaceReplica;
import org.waxwingbeam.wire.operator.Status;

/**
 * The operations that a control replica offers to operators. Results that only the leader can give
 * are empty at other replicas.
 *
 * @since 0.1.0
 */
public interface OperatorOperations {
  /** Submits a change of the configuration. */
  void submitChange(ChangeRequest request, Consumer<ChangeOutcome> receiver);

  /** Replaces a voter by a learner that has caught up. */
  void replaceReplica(ReplaceReplica request, Consumer<ChangeOutcome> receiver);

  /** Returns the newest accepted configuration. */
  Optional<Configuration> configuration();

  /** Returns the accepted changes whose number is {@code fromNumber} or higher. */
  Optional<History> history(long fromNumber);

  /** Returns whether a change is in force. */
  Optional<InForce> inForce(long number);

  /** Returns the status of this replica and what it knows of the others. */
  Status status();
}
