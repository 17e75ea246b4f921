package org.waxwingbeam.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.settings.IniFile.Line;
import org.waxwingbeam.settings.IniFile.Section;
import org.waxwingbeam.text.NearestName;

/** Reads the values of a definition file and collects the faults found. */
final class DefinitionValueReader {
  private static final List<String> PARAMETER_KEYS =
      List.of(Parameter.values()).stream().map(Parameter::key).toList();

  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();

  DefinitionValueReader(String file) {
    this.file = file;
  }

  boolean hasNoFaults() {
    return faults.isEmpty();
  }

  List<SettingsFault> faults() {
    return List.copyOf(faults);
  }

  void addUnknownSection(Section section, List<String> known) {
    Optional<String> nearest = NearestName.of(section.name(), known);
    faults.add(
        new SettingsFault(
            file, section.name(), Optional.empty(), Optional.empty(), "unknown section", nearest));
  }

  /** Adds a fault for each line with an unknown or repeated key. */
  void checkKeys(Section section, List<String> known) {
    Set<String> seen = new HashSet<>();
    for (Line line : section.lines()) {
      if (!seen.add(line.key())) {
        addFault(section, line, "given more than once", Optional.empty());
      } else if (!known.contains(line.key())) {
        addFault(section, line, "unknown key", NearestName.of(line.key(), known));
      }
    }
  }

  Optional<String> required(Section section, String key) {
    Optional<String> value = section.value(key).filter(text -> !text.isEmpty());
    if (value.isEmpty()) {
      faults.add(
          new SettingsFault(
              file,
              section.name(),
              Optional.of(key),
              section.value(key),
              "missing",
              Optional.empty()));
    }
    return value;
  }

  <T> Optional<T> requiredName(Section section, String key, Function<String, T> constructor) {
    return required(section, key)
        .flatMap(value -> parseName(section, Optional.of(key), value, constructor));
  }

  /** Reads the name that follows the prefix in the name of a section. */
  <T> Optional<T> sectionName(Section section, String prefix, Function<String, T> constructor) {
    String value = section.name().substring(prefix.length()).strip();
    return parseName(section, Optional.empty(), value, constructor);
  }

  private <T> Optional<T> parseName(
      Section section, Optional<String> key, String value, Function<String, T> constructor) {
    try {
      return Optional.of(constructor.apply(value));
    } catch (InvalidNameException invalid) {
      String expected = "expected " + InvalidNameException.EXPECTED;
      faults.add(
          new SettingsFault(
              file, section.name(), key, key.map(ignored -> value), expected, Optional.empty()));
      return Optional.empty();
    }
  }

  /** Reads a value that is yes or no; returns false if the key is missing. */
  boolean yesNo(Section section, String key) {
    Optional<String> value = section.value(key);
    if (value.isPresent() && !List.of("yes", "no").contains(value.get())) {
      addFault(section, new Line(key, value.get()), "expected yes or no", Optional.empty());
    }
    return value.filter("yes"::equals).isPresent();
  }

  Parameters parameters(Section section) {
    checkKeys(section, PARAMETER_KEYS);
    Parameters parameters = Parameters.NONE;
    for (Line line : section.lines()) {
      Optional<Parameter> parameter = Parameter.ofKey(line.key());
      if (parameter.isPresent()) {
        parameters = withParameter(parameters, parameter.get(), section, line);
      }
    }
    return parameters;
  }

  private Parameters withParameter(
      Parameters parameters, Parameter parameter, Section section, Line line) {
    OptionalLong value = ParameterText.parse(parameter, line.value());
    if (value.isEmpty()) {
      String expected = "expected " + ParameterText.expected(parameter);
      addFault(section, line, expected, Optional.empty());
      return parameters;
    }
    return parameters.with(parameter, value.getAsLong());
  }

  private void addFault(Section section, Line line, String expected, Optional<String> nearest) {
    faults.add(
        new SettingsFault(
            file,
            section.name(),
            Optional.of(line.key()),
            Optional.of(line.value()),
            expected,
            nearest));
  }
}
