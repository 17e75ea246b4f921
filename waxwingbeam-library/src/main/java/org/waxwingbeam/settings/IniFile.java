package org.waxwingbeam.settings;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * The content of an INI file: sections in file order, each with its lines in file order.
 *
 * @param name the file name for error messages
 * @param sections in the order of their first line; lines before any section are in a section with
 *     an empty name
 * @since 0.1.0
 */
public record IniFile(String name, List<Section> sections) {
  /** Copies the list. */
  public IniFile {
    sections = List.copyOf(sections);
  }

  /**
   * Reads a file.
   *
   * @throws IOException if the file can't be read or is not an INI file; the message names the file
   */
  public static IniFile read(Path path) throws IOException {
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(path, UTF_8)) {
      ini.read(reader);
    } catch (ConfigurationException | RuntimeException malformed) {
      throw new IOException(
          "%s: expected an INI file: %s".formatted(path, malformed.getMessage()), malformed);
    }
    ImmutableNode root = ini.getNodeModel().getNodeHandler().getRootNode();
    List<Line> global =
        root.getChildren().stream()
            .filter(node -> node.getValue() != null)
            .map(IniFile::line)
            .toList();
    List<Section> named =
        root.getChildren().stream()
            .filter(node -> node.getValue() == null)
            .map(IniFile::namedSection)
            .toList();
    return new IniFile(path.toString(), withGlobal(global, named));
  }

  private static List<Section> withGlobal(List<Line> global, List<Section> named) {
    return global.isEmpty()
        ? named
        : Stream.concat(Stream.of(new Section("", global)), named.stream()).toList();
  }

  private static Section namedSection(ImmutableNode node) {
    return new Section(node.getNodeName(), node.getChildren().stream().map(IniFile::line).toList());
  }

  private static Line line(ImmutableNode node) {
    return new Line(node.getNodeName(), String.valueOf(node.getValue()).strip());
  }

  /** Returns the section with a name, or empty if there is none. */
  public Optional<Section> section(String name) {
    return sections.stream().filter(each -> each.name().equals(name)).findFirst();
  }

  /**
   * One section.
   *
   * @param name the text between the brackets
   * @param lines in file order
   */
  public record Section(String name, List<Line> lines) {
    /** Copies the list. */
    public Section {
      lines = List.copyOf(lines);
    }

    /** Returns the value of the first line with a key. */
    public Optional<String> value(String key) {
      return lines.stream().filter(line -> line.key().equals(key)).map(Line::value).findFirst();
    }
  }

  /**
   * One line.
   *
   * @param key the text before the equals sign
   * @param value the text after the equals sign, without a comment
   */
  public record Line(String key, String value) {}
}
