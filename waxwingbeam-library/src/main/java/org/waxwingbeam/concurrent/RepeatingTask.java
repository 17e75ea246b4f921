package org.waxwingbeam.concurrent;

import org.waxwingbeam.logging.EventLog;

/**
 * A task that runs periodically even after one of its runs has failed. A scheduler drops a periodic
 * task without notice once it has thrown.
 *
 * <pre>{@code
 * scheduler.scheduleAtFixedRate(new RepeatingTask("feed", this::tick), 0, 100, MILLISECONDS);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class RepeatingTask implements Runnable {
  private static final EventLog LOG = new EventLog(RepeatingTask.class);

  private final String name;
  private final Runnable task;
  private long failures;

  /**
   * Wraps a task.
   *
   * @param name identifies the task in the log
   * @param task the task
   */
  public RepeatingTask(String name, Runnable task) {
    this.name = name;
    this.task = task;
  }

  /** Runs the task once, and logs its failure. */
  @Override
  public void run() {
    try {
      task.run();
    } catch (RuntimeException | Error failure) {
      logFailure(failure);
    }
  }

  private void logFailure(Throwable failure) {
    failures++;
    // A task that fails in every run is logged ever more rarely.
    if (Long.bitCount(failures) == 1) {
      LOG.error(
          "task-failed",
          "task",
          name,
          "failures",
          failures,
          "reason",
          failure,
          "at",
          failure.getStackTrace().length > 0 ? failure.getStackTrace()[0] : "unknown");
    }
  }
}
