package org.waxwingbeam.settings;

import java.util.List;

/**
 * Holds what was read from a file that defines a template or a client account.
 *
 * @param <T> what the file defines
 * @since 0.1.0
 */
public sealed interface DefinitionResult<T> {
  /**
   * The file is well-formed.
   *
   * @param value what it defines
   */
  record Valid<T>(T value) implements DefinitionResult<T> {}

  /**
   * The file is not well-formed.
   *
   * @param faults everything that is wrong with it, at least one
   */
  record Invalid<T>(List<SettingsFault> faults) implements DefinitionResult<T> {
    /** Copies the list. */
    public Invalid {
      faults = List.copyOf(faults);
    }
  }
}
