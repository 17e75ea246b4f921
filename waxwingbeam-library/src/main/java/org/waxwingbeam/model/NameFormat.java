package org.waxwingbeam.model;

import java.util.regex.Pattern;

/** Checks the names of the domain model against their one common form. */
final class NameFormat {
  static final int MAX_LENGTH = 63;

  private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9.-]*");

  private NameFormat() {}

  static void check(String kind, String value) {
    if (value.length() > MAX_LENGTH || !FORM.matcher(value).matches()) {
      throw new InvalidNameException(kind, value);
    }
  }
}
