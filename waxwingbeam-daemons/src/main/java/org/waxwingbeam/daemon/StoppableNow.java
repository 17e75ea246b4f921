package org.waxwingbeam.daemon;

/**
 * A daemon whose graceful shutdown can be cut short.
 *
 * @since 0.1.0
 */
public interface StoppableNow {
  /** Ends the outstanding requests at once and logs which ones were cut off. */
  void stopNow();
}
