package org.waxwingbeam.target.placement;

/**
 * Distributes status checks over the entry instances, so that each target is checked by one of
 * them. The others take over, one after the other, if no report of the target arrives.
 *
 * @param position index of this entry instance among all, from 0
 * @param entries number of entry instances, at least 1
 * @since 0.1.0
 */
public record ProbeAssignment(int position, int entries) {
  /**
   * Returns the number of entry instances that are to check a target before this one.
   *
   * @param target the identity of the target
   */
  public int rank(String target) {
    int first = Math.floorMod(target.hashCode(), entries);
    return Math.floorMod(position - first, entries);
  }
}
