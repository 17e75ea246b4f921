package org.waxwingbeam.target.version;

import org.waxwingbeam.model.RouteName;

/**
 * Says what a set of counts is about.
 *
 * @param route the route
 * @param fresh whether the requests went to the new version
 * @param level how busy the target was
 * @param cell groups the targets, 0 to {@link #CELLS} - 1, so that one slow machine is not taken
 *     for a slow version
 * @since 0.1.0
 */
public record EvidenceKey(RouteName route, boolean fresh, LoadLevel level, int cell) {
  /** Number of groups of targets. */
  public static final int CELLS = 16;
}
