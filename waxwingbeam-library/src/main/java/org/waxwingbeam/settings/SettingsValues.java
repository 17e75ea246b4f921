package org.waxwingbeam.settings;

import java.nio.file.Path;
import java.util.List;
import org.waxwingbeam.text.Quantity;

/** Provides the typed values of a valid settings file. */
final class SettingsValues {
  private final Path file;
  private final SettingsValidator validator;

  SettingsValues(Path file, SettingsValidator validator) {
    this.file = file;
    this.validator = validator;
  }

  String text(SettingKey key) {
    return validator.valueOf(key).or(key::defaultText).orElseThrow();
  }

  long number(SettingKey key) {
    Quantity quantity = ((SettingType.Range) key.type()).quantity();
    return quantity.parse(text(key)).orElseThrow();
  }

  Endpoint endpoint(SettingKey key) {
    return EndpointText.parse(text(key)).orElseThrow();
  }

  List<Endpoint> endpoints(SettingKey key) {
    return SettingType.AddressList.split(text(key)).stream()
        .map(text -> EndpointText.parse(text).orElseThrow())
        .toList();
  }

  /** Returns a path; a relative one is resolved against the folder of the settings file. */
  Path path(SettingKey key) {
    return file.toAbsolutePath().resolveSibling(text(key)).normalize();
  }
}
