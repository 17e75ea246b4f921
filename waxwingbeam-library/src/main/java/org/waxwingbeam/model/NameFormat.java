package org.waxwingbeam.model;

import java.util.regex.Pattern;

/** The format shared by all names of the domain model. */
final class NameFormat {
  static final int MAX_LENGTH = 63;

  private static final Pattern FORMAT = Pattern.compile("[a-z0-9][a-z0-9.-]*");

  private NameFormat() {}

  static void check(String kind, String value) {
    if (value.length() > MAX_LENGTH || !FORMAT.matcher(value).matches()) {
      throw new InvalidNameException(kind, value);
    }
  }
}
