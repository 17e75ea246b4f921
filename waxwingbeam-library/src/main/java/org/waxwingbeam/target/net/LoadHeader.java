package org.waxwingbeam.target.net;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingbeam.target.LoadReport;

/**
 * Parses the header in which a target reports its load.
 *
 * @since 0.1.0
 */
public final class LoadHeader {
  private static final Pattern FORM =
      Pattern.compile("in-flight=(\\d{1,9});queued=(\\d{1,9});slots=(\\d{1,9})");

  private LoadHeader() {}

  /** Returns the report, or empty if the header is missing or not well-formed. */
  public static Optional<LoadReport> parse(String value) {
    if (value == null) {
      return Optional.empty();
    }
    Matcher parts = FORM.matcher(value);
    return parts.matches() ? Optional.of(report(parts)) : Optional.empty();
  }

  private static LoadReport report(Matcher parts) {
    return new LoadReport(
        Integer.parseInt(parts.group(1)),
        Integer.parseInt(parts.group(2)),
        Integer.parseInt(parts.group(3)));
  }
}
