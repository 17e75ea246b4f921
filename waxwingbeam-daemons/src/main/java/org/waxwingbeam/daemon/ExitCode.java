package org.waxwingbeam.daemon;

/**
 * Lists the exit codes of every program.
 *
 * @since 0.1.0
 */
public enum ExitCode {
  /** The program did what it was asked to, and a change that it made is in force. */
  OK(0),
  /** The program failed while running, or a measurement fell short of its bound. */
  FAILED(1),
  /** The command line or the settings are wrong; nothing was done. */
  USAGE(2),
  /** A change was accepted but is not yet in force everywhere. */
  ACCEPTED(3),
  /** A change was based on a number that is no longer current. */
  CONFLICT(4),
  /** A change was refused. */
  REFUSED(5),
  /** A change may or may not have been accepted; the answer was lost. */
  UNKNOWN(6);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  /** Returns the process's exit status. */
  public int value() {
    return value;
  }
}
