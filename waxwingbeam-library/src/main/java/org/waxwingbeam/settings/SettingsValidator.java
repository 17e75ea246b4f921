package org.waxwingbeam.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.waxwingbeam.settings.IniFile.Line;
import org.waxwingbeam.settings.IniFile.Section;
import org.waxwingbeam.text.NearestName;

/** Validates a settings file against the table of keys. */
final class SettingsValidator {
  private final IniFile file;
  private final List<SettingKey> table;

  SettingsValidator(IniFile file, List<SettingKey> table) {
    this.file = file;
    this.table = table;
  }

  /** Returns the faults: first those of lines in file order, then the missing required keys. */
  List<SettingsFault> faults() {
    Stream<SettingsFault> present = file.sections().stream().flatMap(this::sectionFaults);
    Stream<SettingsFault> missing =
        table.stream()
            .filter(key -> key.defaultText().isEmpty() && valueOf(key).isEmpty())
            .map(this::missing);
    return Stream.concat(present, missing).toList();
  }

  /** Returns the value of a key in the file, or empty if the file does not contain it. */
  Optional<String> valueOf(SettingKey key) {
    return file.section(key.section()).flatMap(section -> section.value(key.key()));
  }

  private Stream<SettingsFault> sectionFaults(Section section) {
    List<String> sections = table.stream().map(SettingKey::section).distinct().toList();
    if (!sections.contains(section.name())) {
      return Stream.of(
          fault(
              section.name(),
              Optional.empty(),
              Optional.empty(),
              "unknown section",
              NearestName.of(section.name(), sections)));
    }
    Set<String> seen = new HashSet<>();
    return section.lines().stream()
        .flatMap(
            line ->
                seen.add(line.key())
                    ? lineFaults(section.name(), line)
                    : Stream.of(
                        fault(section.name(), line, "given more than once", Optional.empty())));
  }

  private Stream<SettingsFault> lineFaults(String section, Line line) {
    List<SettingKey> keys = table.stream().filter(key -> key.section().equals(section)).toList();
    Optional<SettingKey> known =
        keys.stream().filter(key -> key.key().equals(line.key())).findFirst();
    if (known.isEmpty()) {
      List<String> names = keys.stream().map(SettingKey::key).toList();
      return Stream.of(fault(section, line, "unknown key", NearestName.of(line.key(), names)));
    }
    SettingType type = known.get().type();
    return type.accepts(line.value())
        ? Stream.empty()
        : Stream.of(fault(section, line, "expected " + type.expected(), Optional.empty()));
  }

  private SettingsFault missing(SettingKey key) {
    return fault(
        key.section(),
        Optional.of(key.key()),
        Optional.empty(),
        "missing; expected " + key.type().expected(),
        Optional.empty());
  }

  private SettingsFault fault(
      String section, Line line, String expected, Optional<String> nearest) {
    return fault(section, Optional.of(line.key()), Optional.of(line.value()), expected, nearest);
  }

  private SettingsFault fault(
      String section,
      Optional<String> key,
      Optional<String> value,
      String expected,
      Optional<String> nearest) {
    return new SettingsFault(file.name(), section, key, value, expected, nearest);
  }
}
