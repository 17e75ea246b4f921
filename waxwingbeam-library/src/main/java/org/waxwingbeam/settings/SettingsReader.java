package org.waxwingbeam.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.waxwingbeam.logging.LogLevel;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * Reads and validates the settings files of the daemons, and reports all faults of a file at once.
 *
 * <pre>{@code
 * switch (SettingsReader.entry(Path.of("conf/entry.ini"))) {
 *   case SettingsResult.Valid<EntrySettings> valid -> start(valid.settings());
 *   case SettingsResult.Invalid<EntrySettings> invalid ->
 *       invalid.faults().forEach(fault -> System.err.println(fault.message()));
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads the settings of an entry instance.
   *
   * @throws IOException if the file can't be read or is not an INI file
   */
  public static SettingsResult<EntrySettings> entry(Path path) throws IOException {
    return read(path, SettingsTable.ENTRY, SettingsReader::entrySettings);
  }

  /**
   * Reads the settings of a control instance.
   *
   * @throws IOException if the file can't be read or is not an INI file
   */
  public static SettingsResult<ControlSettings> control(Path path) throws IOException {
    return read(path, SettingsTable.CONTROL, SettingsReader::controlSettings);
  }

  private static <T> SettingsResult<T> read(
      Path path, List<SettingKey> table, Function<SettingsValues, T> create) throws IOException {
    SettingsValidator validator = new SettingsValidator(IniFile.read(path), table);
    List<SettingsFault> faults = validator.faults();
    if (!faults.isEmpty()) {
      return new SettingsResult.Invalid<>(faults);
    }
    SettingsValues values = new SettingsValues(path, validator);
    return new SettingsResult.Valid<>(create.apply(values), logLevel(values));
  }

  private static LogLevel logLevel(SettingsValues values) {
    String code = values.text(SettingsTable.LOG_LEVEL);
    return Arrays.stream(LogLevel.values())
        .filter(level -> level.code().equals(code))
        .findFirst()
        .orElseThrow();
  }

  private static EntrySettings entrySettings(SettingsValues values) {
    return new EntrySettings(
        new InstanceName(values.text(SettingsTable.INSTANCE)),
        new DataCentreName(values.text(SettingsTable.DATA_CENTRE)),
        values.endpoint(SettingsTable.CALLERS),
        values.endpoint(SettingsTable.TARGETS),
        values.endpoint(SettingsTable.PLATFORM),
        values.endpoint(SettingsTable.PEERS),
        values.endpoint(SettingsTable.METRICS),
        values.endpoints(SettingsTable.CONTROLS),
        values.path(SettingsTable.TOKEN_FILE),
        new EntrySettings.CallerLimits(
            (int) values.number(SettingsTable.HEADER_LIMIT),
            values.number(SettingsTable.HEADER_TIMEOUT),
            values.number(SettingsTable.KEEP_ALIVE_IDLE)),
        new EntrySettings.ChoiceSettings(values.text(SettingsTable.POLICY)),
        (int) values.number(SettingsTable.WORKERS),
        values.number(SettingsTable.PEER_CONTACT));
  }

  private static ControlSettings controlSettings(SettingsValues values) {
    return new ControlSettings(
        new InstanceName(values.text(SettingsTable.INSTANCE)),
        values.path(SettingsTable.DATA_FOLDER),
        values.endpoint(SettingsTable.REPLICAS),
        values.endpoint(SettingsTable.ENTRIES),
        values.endpoint(SettingsTable.OPERATORS),
        values.endpoint(SettingsTable.METRICS),
        values.endpoints(SettingsTable.INITIAL_REPLICAS),
        values.path(SettingsTable.REPLICA_TOKEN_FILE),
        values.path(SettingsTable.OPERATOR_TOKEN_FILE),
        values.number(SettingsTable.REPLICA_CONTACT));
  }
}
