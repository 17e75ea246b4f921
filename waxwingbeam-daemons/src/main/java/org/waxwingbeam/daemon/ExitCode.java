package org.waxwingbeam.daemon;

/**
 * Exit codes of the commands.
 *
 * @since 0.1.0
 */
public enum ExitCode {
  /** The command succeeded; a change that it made is in force. */
  OK(0, "done; a change that was made is in force"),
  /** The command failed while running, or a measurement missed its bound. */
  FAILED(1, "failed while running"),
  /** The command line or the settings are invalid; nothing was done. */
  USAGE(2, "the command line or the settings are wrong; nothing was done"),
  /** A change was accepted but is not yet in force everywhere. */
  ACCEPTED(3, "the change is accepted but not known to be in force everywhere"),
  /** A change was based on a number that is no longer current. */
  CONFLICT(4, "the change was based on a number that is no longer current"),
  /** A change was refused. */
  REFUSED(5, "the change was refused; nothing was changed"),
  /** A change may or may not have been accepted; the response was lost. */
  UNKNOWN(6, "the change may or may not be accepted; send it again with the same change id");

  private final int value;
  private final String description;

  ExitCode(int value, String description) {
    this.value = value;
    this.description = description;
  }

  /** Returns the exit status of the process. */
  public int value() {
    return value;
  }

  /** Returns the meaning of the code, for help texts. */
  public String description() {
    return description;
  }
}
