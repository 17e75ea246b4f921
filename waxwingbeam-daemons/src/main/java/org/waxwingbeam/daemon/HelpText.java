package org.waxwingbeam.daemon;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import joptsimple.HelpFormatter;
import joptsimple.OptionDescriptor;
import joptsimple.OptionParser;

/**
 * Formats the help of a command: its usage, its options in the order of their definition with the
 * descriptions aligned, and its exit codes.
 *
 * <pre>{@code
 * HelpText help = new HelpText("waxwingbeam entry --settings FILE", "Serves callers.", codes);
 * out.print(help.format(parser));
 * }</pre>
 *
 * @param usage the synopsis of the command line
 * @param description what the command does
 * @param exitCodes the exit codes of the command
 * @since 0.1.0
 */
public record HelpText(String usage, String description, List<ExitCode> exitCodes)
    implements HelpFormatter {
  private static final int DESCRIPTION_WIDTH = 60;

  /** Copies the list of exit codes. */
  public HelpText {
    exitCodes = List.copyOf(exitCodes);
  }

  /** Returns the help text with the options of a parser. */
  public String format(OptionParser parser) {
    StringWriter text = new StringWriter();
    parser.formatHelpWith(this);
    try {
      parser.printHelpOn(text);
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return text.toString();
  }

  @Override
  public String format(Map<String, ? extends OptionDescriptor> options) {
    Collection<? extends OptionDescriptor> inOrder =
        options.values().stream()
            .filter(option -> !option.representsNonOptions())
            .distinct()
            .toList();
    int width = inOrder.stream().mapToInt(option -> synopsis(option).length()).max().orElse(0);
    String lines =
        inOrder.stream().map(option -> optionLines(option, width)).collect(Collectors.joining());
    return "Usage: %s%n%n%s%n%nOptions:%n%s%nExit codes:%n%s"
        .formatted(usage, description, lines, exitCodeLines());
  }

  private String exitCodeLines() {
    return exitCodes.stream()
        .map(code -> "  %d  %s%n".formatted(code.value(), code.description()))
        .collect(Collectors.joining());
  }

  private static String optionLines(OptionDescriptor option, int width) {
    String indent = " ".repeat(width + 4);
    String description =
        wrapped(description(option)).collect(Collectors.joining("%n%s".formatted(indent)));
    return "  %s  %s%n".formatted(padded(synopsis(option), width), description);
  }

  private static String synopsis(OptionDescriptor option) {
    String name = "--" + option.options().getLast();
    return option.acceptsArguments() ? name + " " + option.argumentDescription() : name;
  }

  private static String description(OptionDescriptor option) {
    String defaults =
        option.defaultValues().stream().map(Object::toString).collect(Collectors.joining(", "));
    return defaults.isEmpty()
        ? option.description()
        : "%s (default: %s)".formatted(option.description(), defaults);
  }

  private static String padded(String text, int width) {
    return text + " ".repeat(width - text.length());
  }

  /** Wraps a text at spaces into lines of at most {@link #DESCRIPTION_WIDTH} characters. */
  private static Stream<String> wrapped(String text) {
    Stream.Builder<String> lines = Stream.builder();
    StringBuilder line = new StringBuilder();
    for (String word : Arrays.asList(text.split(" "))) {
      if (!line.isEmpty() && line.length() + 1 + word.length() > DESCRIPTION_WIDTH) {
        lines.add(line.toString());
        line.setLength(0);
      }
      line.append(line.isEmpty() ? "" : " ").append(word);
    }
    return lines.add(line.toString()).build();
  }
}
