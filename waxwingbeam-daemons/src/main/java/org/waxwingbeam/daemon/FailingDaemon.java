package org.waxwingbeam.daemon;

/**
 * A daemon that may have to end by itself, such as after its disk has failed.
 *
 * @since 0.1.0
 */
public interface FailingDaemon extends AutoCloseable {
  /**
   * Sets what is called when the daemon can serve no longer.
   *
   * @param listener called at most once, on any thread
   */
  void whenFailed(Runnable listener);

  @Override
  void close();
}
