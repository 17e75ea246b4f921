package org.waxwingbeam.target;

import org.waxwingbeam.model.TargetId;

/**
 * Whether one start of a target has completed its cold start. Entry instances share these records.
 *
 * @param target the target
 * @param bootId boot id of the target's start
 * @param generation number of the change within one start
 * @param warm whether the target can run as many requests as it has slots
 * @param configurationNumber number of the configuration that applied when this was found
 * @since 0.1.0
 */
public record WarmupState(
    TargetId target, long bootId, long generation, boolean warm, long configurationNumber) {
  /**
   * Returns whether this record replaces another one. A later start wins, then a later generation;
   * within a generation, cold wins over warm.
   */
  public boolean supersedes(WarmupState other) {
    if (bootId != other.bootId) {
      return bootId > other.bootId;
    }
    if (generation != other.generation) {
      return generation > other.generation;
    }
    return !warm && other.warm;
  }
}
