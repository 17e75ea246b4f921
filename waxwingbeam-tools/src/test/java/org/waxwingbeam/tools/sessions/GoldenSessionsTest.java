package org.waxwingbeam.tools.sessions;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the output of each session with its golden file.
 *
 * <p>Run with {@code -Dwaxwingbeam.golden=rewrite} to rewrite the golden files.
 */
class GoldenSessionsTest {
  private static final Path FOLDER =
      Path.of(System.getProperty("waxwingbeam.root"), "waxwingbeam-tools/src/test/sessions");
  private static final boolean REWRITE =
      System.getProperty("waxwingbeam.golden", "").equals("rewrite");

  static List<String> sessions() throws IOException {
    try (Stream<Path> files = Files.list(FOLDER)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(".session"))
          .map(name -> name.replace(".session", ""))
          .sorted()
          .toList();
    }
  }

  @ParameterizedTest
  @MethodSource("sessions")
  void sessionOutputMatchesItsGoldenFile(String name) throws IOException {
    String actual = Session.run(Session.lines(FOLDER.resolve(name + ".session")));
    Path golden = FOLDER.resolve(name + ".golden");
    if (REWRITE) {
      Files.writeString(golden, actual);
    }
    assertWithMessage(name).that(actual).isEqualTo(Files.readString(golden));
  }

  @ParameterizedTest
  @MethodSource("sessions")
  void sessionOutputIsReproducible(String name) throws IOException {
    List<String> lines = Session.lines(FOLDER.resolve(name + ".session"));

    assertWithMessage(name).that(Session.run(lines)).isEqualTo(Session.run(lines));
  }
}
