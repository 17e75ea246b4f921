package org.waxwingbeam.daemon;

/**
 * A daemon whose orderly end can be hurried.
 *
 * @since 0.1.0
 */
public interface StoppableNow {
  /** Ends what is under way at once, and logs what was cut. */
  void stopNow();
}
