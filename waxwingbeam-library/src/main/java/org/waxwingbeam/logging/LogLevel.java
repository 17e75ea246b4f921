package org.waxwingbeam.logging;

import java.util.Locale;
import java.util.logging.Level;

/**
 * Lists the levels of detail of the log, from the least.
 *
 * @since 0.1.0
 */
public enum LogLevel {
  /** Failures of this process only. */
  ERROR,
  /** Also events that operators should look into. */
  WARN,
  /** Also events that need no action. */
  INFO,
  /** Also events for fault finding. */
  DEBUG;

  /** Returns the name that settings use, such as {@code info}. */
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
