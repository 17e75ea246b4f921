package org.waxwingbeam.tools.sessions;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that docs/PROMISES.md names every session, and only tests and sessions that exist. */
class PromisesPageTest {
  private static final Path ROOT = Path.of(System.getProperty("waxwingbeam.root"));
  private static final Path SESSIONS = ROOT.resolve("waxwingbeam-tools/src/test/sessions");

  @Test
  void everySessionThatIsNamedExists() throws IOException {
    List<String> named = namesOnPage("session");

    assertThat(named).isNotEmpty();
    assertThat(fileNames(SESSIONS, ".session")).containsAtLeastElementsIn(named);
  }

  @Test
  void everySessionIsNamed() throws IOException {
    assertThat(namesOnPage("session")).containsAtLeastElementsIn(fileNames(SESSIONS, ".session"));
  }

  @Test
  void everyTestThatIsNamedExists() throws IOException {
    List<String> named = namesOnPage("test");

    assertThat(named).isNotEmpty();
    assertThat(fileNames(ROOT, "Test.java").stream().map(name -> name + "Test").toList())
        .containsAtLeastElementsIn(named);
  }

  private static List<String> namesOnPage(String kind) throws IOException {
    String page = Files.readString(ROOT.resolve("docs/PROMISES.md"));
    return Pattern.compile("\\b%s\\s+`([^`]+)`".formatted(kind))
        .matcher(page)
        .results()
        .map(match -> match.group(1))
        .distinct()
        .toList();
  }

  private static List<String> fileNames(Path folder, String suffix) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(suffix))
          .map(name -> name.substring(0, name.length() - suffix.length()))
          .toList();
    }
  }
}
