package org.waxwingbeam.settings;

import java.util.List;
import org.waxwingbeam.logging.LogLevel;

/**
 * Holds what was read from a settings file.
 *
 * @param <T> the settings of a daemon
 * @since 0.1.0
 */
public sealed interface SettingsResult<T> {
  /**
   * The file is valid.
   *
   * @param settings the settings of the daemon
   * @param logLevel the level of detail of its log
   */
  record Valid<T>(T settings, LogLevel logLevel) implements SettingsResult<T> {}

  /**
   * The file is not valid.
   *
   * @param faults everything that is wrong with it, at least one
   */
  record Invalid<T>(List<SettingsFault> faults) implements SettingsResult<T> {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
