package org.waxwingbeam.replica;

import com.google.protobuf.ByteString;
import java.util.List;
import org.waxwingbeam.wire.operator.ChangeAnswer;

/**
 * The result of applying a command.
 *
 * @since 0.1.0
 */
public sealed interface CommandResult {
  /**
   * The result of an operator's change.
   *
   * @param answer the response, which is the same for each repetition of a request
   */
  record Change(ChangeAnswer answer) implements CommandResult {}

  /**
   * The results of a batch of commands of the claim table.
   *
   * @param answers one reply for each command, in the same order
   */
  record Claims(List<ByteString> answers) implements CommandResult {
    /** Copies the list. */
    public Claims {
      answers = List.copyOf(answers);
    }
  }

  /**
   * The result of a change of the routing state.
   *
   * @param changed whether the command changed the state
   */
  record Routing(boolean changed) implements CommandResult {}

  /** The command has no result of its own. */
  record Done() implements CommandResult {}
}
