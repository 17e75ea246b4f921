package org.waxwingbeam.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ConfigurationEditor;
import org.waxwingbeam.operator.EditResult;

/** Tests that the sample files of each deployment in conf/ are valid and complete. */
class SampleSettingsTest {
  private static final Path CONF = Path.of(System.getProperty("waxwingbeam.root"), "conf");

  @ParameterizedTest
  @ValueSource(strings = {"officina-dialettale", "glisse-boreale"})
  void settingsAreValidAndContainEveryKey(String user) throws IOException {
    Path entry = CONF.resolve(user).resolve("entry.ini");
    Path control = CONF.resolve(user).resolve("control.ini");

    assertThat(SettingsReader.entry(entry)).isInstanceOf(SettingsResult.Valid.class);
    assertThat(SettingsReader.control(control)).isInstanceOf(SettingsResult.Valid.class);
    assertThat(labels(entry)).containsExactlyElementsIn(labels(SettingsTable.ENTRY)).inOrder();
    assertThat(labels(control)).containsExactlyElementsIn(labels(SettingsTable.CONTROL)).inOrder();
  }

  @ParameterizedTest
  @ValueSource(strings = {"officina-dialettale", "glisse-boreale"})
  void definitionsAreAcceptedInOrder(String user) throws IOException {
    Configuration configuration = Configuration.EMPTY;
    for (Path file : files(user, "template-")) {
      var read = (DefinitionResult.Valid<Template>) DefinitionReader.template(file);
      configuration = accepted(configuration, new Change.PutTemplate(read.value()));
      assertThat(read.value().parameters().explicitValues().keySet())
          .containsExactlyElementsIn(Parameter.values());
    }
    for (Path file : files(user, "account-")) {
      var read = (DefinitionResult.Valid<Account>) DefinitionReader.account(file);
      configuration = accepted(configuration, new Change.PutAccount(read.value()));
    }
    assertThat(configuration.number()).isEqualTo(5);
  }

  private static Configuration accepted(Configuration configuration, Change change) {
    EditResult result = ConfigurationEditor.apply(configuration, change, 0);
    return ((EditResult.Accepted) result).configuration();
  }

  private static List<String> labels(Path file) throws IOException {
    return IniFile.read(file).sections().stream()
        .flatMap(
            section ->
                section.lines().stream()
                    .map(line -> "[%s] %s".formatted(section.name(), line.key())))
        .toList();
  }

  private static List<String> labels(List<SettingKey> table) {
    return table.stream().map(SettingKey::label).toList();
  }

  private static List<Path> files(String user, String prefix) throws IOException {
    try (Stream<Path> files = Files.list(CONF.resolve(user))) {
      return files
          .filter(file -> file.getFileName().toString().startsWith(prefix))
          .sorted()
          .toList();
    }
  }
}
