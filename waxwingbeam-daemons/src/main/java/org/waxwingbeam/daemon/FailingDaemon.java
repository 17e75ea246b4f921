package org.waxwingbeam.daemon;

/**
 * A daemon that may fail while running, such as after a disk failure.
 *
 * @since 0.1.0
 */
public interface FailingDaemon extends AutoCloseable {
  /**
   * Sets the listener that is called when the daemon has failed and cannot serve any more.
   *
   * @param listener called at most once, on any thread
   */
  void whenFailed(Runnable listener);

  @Override
  void close();
}
