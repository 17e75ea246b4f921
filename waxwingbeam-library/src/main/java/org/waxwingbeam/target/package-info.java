/**
 * Selects the target of each request attempt, and tracks the announcements, load, health and cold
 * starts of targets.
 *
 * <p>{@link Dispatcher} assigns targets to attempts; {@link TargetRegistry} holds the targets that
 * have announced themselves.
 */
package org.waxwingbeam.target;
