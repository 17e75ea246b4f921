package org.waxwingbeam.settings;

import java.util.OptionalLong;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.text.Quantity;

/**
 * Parses and formats the values of template parameters with their units.
 *
 * <pre>{@code
 * ParameterText.parse(Parameter.DEADLINE, "2 s"); // 2000
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ParameterText {
  private static final String YES = "yes";
  private static final String NO = "no";

  private ParameterText() {}

  /** Parses a value; returns empty if the text is malformed or the value is out of range. */
  public static OptionalLong parse(Parameter parameter, String text) {
    if (parameter.unit() == Parameter.Unit.YES_NO) {
      return yesNo(text);
    }
    OptionalLong value = quantity(parameter).parse(text);
    return value.isPresent()
            && value.getAsLong() >= parameter.min()
            && value.getAsLong() <= parameter.max()
        ? value
        : OptionalLong.empty();
  }

  private static OptionalLong yesNo(String text) {
    return switch (text) {
      case YES -> OptionalLong.of(1);
      case NO -> OptionalLong.of(0);
      default -> OptionalLong.empty();
    };
  }

  /** Formats a value. */
  public static String format(Parameter parameter, long value) {
    if (parameter.unit() == Parameter.Unit.YES_NO) {
      return value == 1 ? YES : NO;
    }
    return quantity(parameter).format(value);
  }

  /** Describes the valid values of a parameter, for error messages. */
  public static String expected(Parameter parameter) {
    if (parameter.unit() == Parameter.Unit.YES_NO) {
      return "yes or no";
    }
    return new SettingType.Range(quantity(parameter), parameter.min(), parameter.max()).expected();
  }

  private static Quantity quantity(Parameter parameter) {
    return switch (parameter.unit()) {
      case MILLISECONDS -> Quantity.DURATION;
      case BYTES -> Quantity.SIZE;
      case PERCENT -> Quantity.PERCENTAGE;
      case COUNT, YES_NO -> Quantity.NUMBER;
    };
  }
}
