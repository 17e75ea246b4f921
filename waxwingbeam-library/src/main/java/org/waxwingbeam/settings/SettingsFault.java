package org.waxwingbeam.settings;

import java.util.Optional;

/**
 * Says what is wrong with one line of a settings file, or which line is missing.
 *
 * @param file the file as it was named
 * @param section the section
 * @param key the key; empty if the section itself is unknown
 * @param value the offending value; empty if there is none
 * @param expected what is wrong and what was expected
 * @param nearest the known key or section that an unknown one most likely stands for
 * @since 0.1.0
 */
public record SettingsFault(
    String file,
    String section,
    Optional<String> key,
    Optional<String> value,
    String expected,
    Optional<String> nearest) {

  /** Returns the fault as one line. */
  public String message() {
    return "%s: [%s]%s%s: %s%s"
        .formatted(
            file,
            section,
            key.map(" %s"::formatted).orElse(""),
            value.map(" = %s"::formatted).orElse(""),
            expected,
            nearest.map("; the nearest known one is '%s'"::formatted).orElse(""));
  }
}
