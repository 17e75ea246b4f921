package org.waxwingbeam.target.version;

import org.waxwingbeam.model.RouteName;

/**
 * Says what a set of counts is about.
 *
 * @param route the route
 * @param newVersion whether the requests went to the new version
 * @param level how busy the target was
 * @param targetGroup groups the targets, 0 to {@link #TARGET_GROUPS} - 1, so that one slow machine
 *     is not taken for a slow version
 * @since 0.1.0
 */
public record SampleKey(RouteName route, boolean newVersion, LoadLevel level, int targetGroup) {
  /** Number of groups of targets. */
  public static final int TARGET_GROUPS = 16;
}
