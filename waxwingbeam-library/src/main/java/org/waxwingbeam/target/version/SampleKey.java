package org.waxwingbeam.target.version;

import org.waxwingbeam.model.RouteName;

/**
 * Identifies the group of requests that a set of counts covers.
 *
 * @param route the route
 * @param newVersion whether the requests went to the new version
 * @param level the load level of the target
 * @param targetGroup the group of targets, 0 to {@link #TARGET_GROUPS} - 1; the contribution of
 *     each group is bounded, so that one slow machine is not mistaken for a slow version
 * @since 0.1.0
 */
public record SampleKey(RouteName route, boolean newVersion, LoadLevel level, int targetGroup) {
  /** Number of groups of targets. */
  public static final int TARGET_GROUPS = 16;
}
