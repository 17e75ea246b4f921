package org.waxwingbeam.daemon;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.settings.ParameterText;
import org.waxwingbeam.settings.SettingKey;
import org.waxwingbeam.settings.SettingsTable;

/**
 * Compares the tables of docs/OPERATIONS.md with the settings, parameters and exit codes in the
 * code.
 *
 * <p>Run with {@code -Dwaxwingbeam.golden=rewrite} to regenerate the tables.
 */
class OperatingPageTest {
  private static final Path PAGE =
      Path.of(System.getProperty("waxwingbeam.root"), "docs", "OPERATIONS.md");
  private static final boolean REWRITE =
      System.getProperty("waxwingbeam.golden", "").equals("rewrite");

  @Test
  void entrySettingsTableMatchesTheCode() throws IOException {
    assertTable("entry settings", settingsTable(SettingsTable.ENTRY));
  }

  @Test
  void controlSettingsTableMatchesTheCode() throws IOException {
    assertTable("control settings", settingsTable(SettingsTable.CONTROL));
  }

  @Test
  void parameterTableMatchesTheCode() throws IOException {
    Stream<List<String>> rows =
        Arrays.stream(Parameter.values())
            .map(
                each ->
                    List.of(
                        "`%s`".formatted(each.key()),
                        ParameterText.expected(each),
                        ParameterText.format(each, each.defaultValue())));
    assertTable("parameters", table(List.of("Key", "Value", "Default"), rows));
  }

  @Test
  void exitCodeTableMatchesTheCode() throws IOException {
    Stream<List<String>> rows =
        Arrays.stream(ExitCode.values())
            .map(each -> List.of("" + each.value(), each.description()));
    assertTable("exit codes", table(List.of("Code", "Meaning"), rows));
  }

  private static String settingsTable(List<SettingKey> keys) {
    Stream<List<String>> rows =
        keys.stream()
            .map(
                key ->
                    List.of(
                        "`%s`".formatted(key.label()),
                        key.type().expected(),
                        key.defaultText().orElse("must be given"),
                        key.description()));
    return table(List.of("Key", "Value", "Default", "Meaning"), rows);
  }

  private static String table(List<String> header, Stream<List<String>> rows) {
    List<String> separator = header.stream().map(cell -> "---").toList();
    return Stream.concat(Stream.of(header, separator), rows)
        .map(row -> "| " + String.join(" | ", row) + " |\n")
        .collect(Collectors.joining());
  }

  private static void assertTable(String name, String expected) throws IOException {
    String page = Files.readString(PAGE);
    Matcher section =
        Pattern.compile("(<!-- table: %s -->\n)(.*?)(<!-- end -->)".formatted(name), Pattern.DOTALL)
            .matcher(page);
    assertThat(section.find()).isTrue();
    if (REWRITE) {
      Files.writeString(
          PAGE, page.substring(0, section.start(2)) + expected + page.substring(section.end(2)));
    } else {
      assertThat(section.group(2)).isEqualTo(expected);
    }
  }
}
