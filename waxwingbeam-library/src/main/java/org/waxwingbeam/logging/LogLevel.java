package org.waxwingbeam.logging;

import java.util.Locale;
import java.util.logging.Level;

/**
 * The levels of the log, from the least detailed to the most detailed.
 *
 * @since 0.1.0
 */
public enum LogLevel {
  /** Failures of this process only. */
  ERROR,
  /** Also events that operators should investigate. */
  WARN,
  /** Also events that need no action. */
  INFO,
  /** Also events for debugging. */
  DEBUG;

  /** Returns the name of the level in settings files, such as {@code info}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  Level level() {
    return switch (this) {
      case ERROR -> Level.SEVERE;
      case WARN -> Level.WARNING;
      case INFO -> Level.INFO;
      case DEBUG -> Level.FINE;
    };
  }
}
