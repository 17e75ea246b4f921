package org.waxwingbeam.daemon.operate;

/** Reports a command line that can't be carried out. */
final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
