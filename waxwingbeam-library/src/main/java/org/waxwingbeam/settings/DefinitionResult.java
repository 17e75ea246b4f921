package org.waxwingbeam.settings;

import java.util.List;

/**
 * The result of reading a file that defines a template or a client account.
 *
 * @param <T> the type that the file defines
 * @since 0.1.0
 */
public sealed interface DefinitionResult<T> {
  /**
   * The file is valid.
   *
   * @param value the defined template or account
   */
  record Valid<T>(T value) implements DefinitionResult<T> {}

  /**
   * The file is not valid.
   *
   * @param faults all faults of the file, at least one
   */
  record Invalid<T>(List<SettingsFault> faults) implements DefinitionResult<T> {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
