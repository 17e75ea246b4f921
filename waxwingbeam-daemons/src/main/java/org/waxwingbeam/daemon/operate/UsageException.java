package org.waxwingbeam.daemon.operate;

/** Thrown for an invalid command line. */
final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
