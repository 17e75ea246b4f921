package org.waxwingbeam.settings;

import java.util.Optional;

/**
 * Describes one key of a settings file.
 *
 * @param section the section that the key belongs to
 * @param key the name of the key
 * @param type what values are allowed
 * @param defaultText the value if the key is not given; empty if it must be given
 * @param description one sentence for operators
 * @since 0.1.0
 */
public record SettingKey(
    String section,
    String key,
    SettingType type,
    Optional<String> defaultText,
    String description) {
  /** Returns the text by which errors and pages name the key, such as {@code [peers] listen}. */
  public String label() {
    return "[%s] %s".formatted(section, key);
  }
}
