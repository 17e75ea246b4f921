package org.waxwingbeam.settings;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.text.Quantity;

/**
 * The type of a setting: which values are valid.
 *
 * @since 0.1.0
 */
public sealed interface SettingType {
  /** Describes the valid values, for error messages and documentation. */
  String expected();

  /** Returns whether a value is valid. */
  boolean accepts(String text);

  /** The name of an instance or a data centre. */
  record Name() implements SettingType {
    @Override
    public String expected() {
      return InvalidNameException.EXPECTED;
    }

    @Override
    public boolean accepts(String text) {
      try {
        new InstanceName(text);
        return true;
      } catch (InvalidNameException invalid) {
        return false;
      }
    }
  }

  /** An IP address and a port. */
  record Address() implements SettingType {
    @Override
    public String expected() {
      return "an IP address and port such as 10.0.0.7:8080 or [fd00::7]:8080";
    }

    @Override
    public boolean accepts(String text) {
      return EndpointText.parse(text).isPresent();
    }
  }

  /** One or more IP addresses and ports, separated by commas. */
  record AddressList() implements SettingType {
    private static final Pattern SEPARATOR = Pattern.compile("\\s*,\\s*");

    @Override
    public String expected() {
      return "IP addresses and ports such as 10.0.0.7:7000, 10.0.0.8:7000, each given once";
    }

    @Override
    public boolean accepts(String text) {
      List<String> parts = split(text);
      return parts.stream().allMatch(part -> EndpointText.parse(part).isPresent())
          && parts.stream().distinct().count() == parts.size();
    }

    /** Splits a list into its addresses. */
    static List<String> split(String text) {
      return Arrays.asList(SEPARATOR.split(text.strip(), -1));
    }
  }

  /** The path of a file or folder. */
  record FilePath() implements SettingType {
    @Override
    public String expected() {
      return "a path";
    }

    @Override
    public boolean accepts(String text) {
      return !text.isBlank() && text.indexOf('\0') < 0;
    }
  }

  /**
   * A duration, size, percentage or number within a range.
   *
   * @param quantity the kind of quantity
   * @param min the minimum value, in the smallest unit
   * @param max the maximum value, in the smallest unit
   */
  record Range(Quantity quantity, long min, long max) implements SettingType {
    @Override
    public String expected() {
      return "%s, from %s to %s"
          .formatted(quantity.description(), quantity.format(min), quantity.format(max));
    }

    @Override
    public boolean accepts(String text) {
      OptionalLong value = quantity.parse(text);
      return value.isPresent() && value.getAsLong() >= min && value.getAsLong() <= max;
    }
  }

  /**
   * One of a fixed list of words.
   *
   * @param words the valid values
   */
  record Choice(List<String> words) implements SettingType {
    /** Copies the list. */
    public Choice {
      words = List.copyOf(words);
    }

    @Override
    public String expected() {
      return "one of " + String.join(", ", words);
    }

    @Override
    public boolean accepts(String text) {
      return words.contains(text);
    }
  }
}
