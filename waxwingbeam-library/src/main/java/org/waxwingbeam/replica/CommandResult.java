package org.waxwingbeam.replica;

import com.google.protobuf.ByteString;
import java.util.List;
import org.waxwingbeam.wire.operator.ChangeAnswer;

/**
 * What came of a command that was applied.
 *
 * @since 0.1.0
 */
public sealed interface CommandResult {
  /**
   * The answer to an operator's change.
   *
   * @param response the first answer that its change id got
   */
  record Change(ChangeAnswer response) implements CommandResult {}

  /**
   * The answers to a batch of claims.
   *
   * @param responses one for each command, in the same order
   */
  record Claims(List<ByteString> responses) implements CommandResult {
    /** Copies the list. */
    public Claims {
      responses = List.copyOf(responses);
    }
  }

  /**
   * The outcome of a change of the routing state.
   *
   * @param changed whether the state is another one now
   */
  record Routing(boolean changed) implements CommandResult {}

  /** The command has no answer of its own. */
  record NoResult() implements CommandResult {}
}
