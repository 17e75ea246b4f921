package org.waxwingbeam.target.placement;

/**
 * Divides the targets among the entry instances, so that each report is asked for by one of them.
 * The others stand in for it, one after the other, if no report comes.
 *
 * @param position place of this entry instance among all, from 0
 * @param entries number of entry instances, at least 1
 * @since 0.1.0
 */
public record ProbeAssignment(int position, int entries) {
  /**
   * Returns how many other entry instances are to check a target before this one does.
   *
   * @param target the identity of the target
   */
  public int rank(String target) {
    int first = Math.floorMod(target.hashCode(), entries);
    return Math.floorMod(position - first, entries);
  }
}
