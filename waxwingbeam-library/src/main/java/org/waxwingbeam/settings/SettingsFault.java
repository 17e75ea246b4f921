package org.waxwingbeam.settings;

import java.util.Optional;

/**
 * A fault of a settings or definition file: an invalid line, an unknown section or a missing key.
 *
 * @param file the file name
 * @param section the section
 * @param key the key; empty if the section itself is unknown
 * @param value the invalid value; empty if there is none
 * @param expected what is wrong, or what was expected
 * @param nearest the known key or section that is most similar to an unknown one
 * @since 0.1.0
 */
public record SettingsFault(
    String file,
    String section,
    Optional<String> key,
    Optional<String> value,
    String expected,
    Optional<String> nearest) {

  /** Returns a one-line message for operators. */
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
