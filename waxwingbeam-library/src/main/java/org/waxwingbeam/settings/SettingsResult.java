package org.waxwingbeam.settings;

import java.util.List;
import org.waxwingbeam.logging.LogLevel;

/**
 * The result of reading a settings file.
 *
 * @param <T> the type of the settings
 * @since 0.1.0
 */
public sealed interface SettingsResult<T> {
  /**
   * The file is valid.
   *
   * @param settings the settings of the daemon
   * @param logLevel the log level of the daemon
   */
  record Valid<T>(T settings, LogLevel logLevel) implements SettingsResult<T> {}

  /**
   * The file is not valid.
   *
   * @param faults all faults of the file, at least one
   */
  record Invalid<T>(List<SettingsFault> faults) implements SettingsResult<T> {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
