package org.waxwingbeam.model;

/**
 * Reports a name that is not well-formed.
 *
 * @since 0.1.0
 */
public final class InvalidNameException extends IllegalArgumentException {
  /** Describes the form of every name. */
  public static final String EXPECTED =
      "1 to %d lower-case letters, digits, dots or hyphens, starting with a letter or digit"
          .formatted(NameFormat.MAX_LENGTH);

  private static final long serialVersionUID = 1L;

  private final String kind;
  private final String value;

  /**
   * Creates the exception.
   *
   * @param kind what the name was to name, such as {@code service}
   * @param value the offending value
   */
  public InvalidNameException(String kind, String value) {
    super("%s name '%s': expected %s".formatted(kind, value, EXPECTED));
    this.kind = kind;
    this.value = value;
  }

  /** Returns what the name was to name. */
  public String kind() {
    return kind;
  }

  /** Returns the offending value. */
  public String value() {
    return value;
  }
}
