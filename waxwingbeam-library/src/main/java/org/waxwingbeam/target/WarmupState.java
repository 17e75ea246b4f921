package org.waxwingbeam.target;

import org.waxwingbeam.model.TargetId;

/**
 * Says whether one start of a target is past its cold start. Entry instances share these records.
 *
 * @param target the target
 * @param bootId the start of its process
 * @param generation counts the changes within one start
 * @param warm whether it can carry all of its slots
 * @param configurationNumber the configuration under which this was found
 * @since 0.1.0
 */
public record WarmupState(
    TargetId target, long bootId, long generation, boolean warm, long configurationNumber) {
  /**
   * Returns whether this record replaces another one: a later start, a later generation, or cold
   * against warm in the same generation.
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
