package org.waxwingbeam.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.logging.LogLevel;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

class SettingsReaderTest {
  private static final String VALID =
      """
      # An entry instance.
      [instance]
      name = entry-1 ; unique
      data-centre = north
      [callers]
      listen = 10.0.0.7:8080
      header-limit = 32 KiB
      header-timeout = 2500 ms
      [targets]
      listen = 10.0.0.7:8081
      [platform]
      listen = 10.0.0.7:8082
      [peers]
      listen = [fd00::7]:8083
      [metrics]
      listen = 10.0.0.7:9090
      [control]
      addresses = 10.0.1.1:7000, 10.0.1.2:7000
      token-file = token
      """;

  @TempDir Path folder;

  @Test
  void validFileGivesValuesAndDefaults() throws IOException {
    Path file = written(VALID);

    SettingsResult<EntrySettings> result = SettingsReader.entry(file);

    EntrySettings expected =
        new EntrySettings(
            new InstanceName("entry-1"),
            new DataCentreName("north"),
            new Endpoint("10.0.0.7", 8080),
            new Endpoint("10.0.0.7", 8081),
            new Endpoint("10.0.0.7", 8082),
            new Endpoint("fd00::7", 8083),
            new Endpoint("10.0.0.7", 9090),
            List.of(new Endpoint("10.0.1.1", 7000), new Endpoint("10.0.1.2", 7000)),
            folder.resolve("token"),
            new EntrySettings.CallerLimits(32_768, 2_500, 60_000),
            new EntrySettings.ChoiceSettings("quota"),
            2,
            3_000);
    assertThat(result).isEqualTo(new SettingsResult.Valid<>(expected, LogLevel.INFO));
  }

  @Test
  void everyFaultIsReportedAtOnce() throws IOException {
    String invalid =
        VALID
            .replace("header-limit", "header-limt")
            .replace("[platform]", "[platfrom]")
            .replace("10.0.1.2:7000", "ten:7000");

    assertThat(messages(invalid))
        .containsExactly(
            "entry.ini: [callers] header-limt = 32 KiB: unknown key; the nearest known one is"
                + " 'header-limit'",
            "entry.ini: [platfrom]: unknown section; the nearest known one is 'platform'",
            "entry.ini: [control] addresses = 10.0.1.1:7000, ten:7000: expected IP addresses and"
                + " ports such as 10.0.0.7:7000, 10.0.0.8:7000, each given once",
            "entry.ini: [platform] listen: missing; expected an IP address and port such as"
                + " 10.0.0.7:8080 or [fd00::7]:8080")
        .inOrder();
  }

  @Test
  void sizeOutOfRangeIsReported() throws IOException {
    assertThat(messages(VALID.replace("32 KiB", "2 MiB")))
        .containsExactly(
            "entry.ini: [callers] header-limit = 2 MiB: expected a size such as 16 KiB, from"
                + " 1 KiB to 1 MiB");
  }

  @Test
  void durationWithoutUnitIsReported() throws IOException {
    assertThat(messages(VALID.replace("2500 ms", "2500")))
        .containsExactly(
            "entry.ini: [callers] header-timeout = 2500: expected a duration such as 250 ms, from"
                + " 100 ms to 10 min");
  }

  @Test
  void malformedNameIsReported() throws IOException {
    assertThat(messages(VALID.replace("= north", "= North")))
        .containsExactly(
            "entry.ini: [instance] data-centre = North: expected 1 to 63 lower-case letters,"
                + " digits, dots or hyphens, starting with a letter or digit");
  }

  @Test
  void keyGivenTwiceIsReported() throws IOException {
    assertThat(messages(VALID.replace("[targets]", "listen = 10.0.0.8:8080\n[targets]")))
        .containsExactly("entry.ini: [callers] listen = 10.0.0.8:8080: given more than once");
  }

  @Test
  void emptyPathIsReported() throws IOException {
    assertThat(messages(VALID.replace("token-file = token", "token-file =")))
        .containsExactly("entry.ini: [control] token-file = : expected a path");
  }

  @Test
  void unknownLogLevelIsReported() throws IOException {
    assertThat(messages(VALID + "[log]\nlevel = verbose\n"))
        .containsExactly(
            "entry.ini: [log] level = verbose: expected one of error, warn, info, debug");
  }

  @Test
  void lineBeforeAnySectionIsReported() throws IOException {
    assertThat(messages("name = entry-1\n" + VALID))
        .containsExactly("entry.ini: []: unknown section; the nearest known one is 'log'");
  }

  private List<String> messages(String text) throws IOException {
    var result = (SettingsResult.Invalid<EntrySettings>) SettingsReader.entry(written(text));
    return result.faults().stream()
        .map(fault -> fault.message().replace(folder + "/", ""))
        .toList();
  }

  private Path written(String text) throws IOException {
    return Files.writeString(folder.resolve("entry.ini"), text);
  }
}
