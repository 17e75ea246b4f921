package org.waxwingbeam.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.settings.EntrySettings;
import org.waxwingbeam.settings.SettingsReader;

class DaemonCommandTest {
  @TempDir Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final DaemonCommand<EntrySettings> command =
      new DaemonCommand<>("entry", "serve callers", SettingsReader::entry, settings -> () -> {});

  @Test
  void helpIsOrderedAndAligned() throws Exception {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8))
        .isEqualTo(
            """
            Usage: waxwingbeam entry --settings FILE [OPTION]...

            serve callers.

            Options:
              --settings FILE   the settings file
              --check-settings  check the settings file and end
              --help            print this text

            Exit codes:
              0  done; a change that was made is in force
              1  failed while running
              2  the command line or the settings are wrong; nothing was done
            """);
  }

  @Test
  void missingSettingsFileIsNamed() throws Exception {
    assertThat(run("--settings", folder + "/none.ini")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "waxwingbeam entry: settings file can't be read: %s/none.ini; see --help\n"
                .formatted(folder));
  }

  @Test
  void checkSettingsReportsEachFaultAndDoesNotStart() throws Exception {
    Path file = writeIni("[log]\nlevl = info\n");

    assertThat(run("--check-settings", "--settings", file.toString())).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8).lines().toList())
        .contains(file + ": [log] levl = info: unknown key; the nearest known one is 'level'");
    assertThat(err.toString(UTF_8).lines().toList()).hasSize(10);
  }

  @Test
  void unknownOptionIsRefused() throws Exception {
    assertThat(run("--setings", "x")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo("waxwingbeam entry: setings is not a recognized option; see --help\n");
  }

  private Path writeIni(String text) throws IOException {
    return Files.writeString(folder.resolve("entry.ini"), text);
  }

  private ExitCode run(String... arguments) throws Exception {
    return command.run(
        List.of(arguments), new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8));
  }
}
