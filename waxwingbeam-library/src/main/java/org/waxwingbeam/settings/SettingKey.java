package org.waxwingbeam.settings;

import java.util.Optional;

/**
 * A key of a settings file.
 *
 * @param section the section of the key
 * @param key the name of the key
 * @param type the type of the value
 * @param defaultText the default value; empty if the key is required
 * @param description a description for operators, in one sentence
 * @since 0.1.0
 */
public record SettingKey(
    String section,
    String key,
    SettingType type,
    Optional<String> defaultText,
    String description) {
  /** Returns the key's name in messages and documentation, such as {@code [peers] listen}. */
  public String label() {
    return "[%s] %s".formatted(section, key);
  }
}
