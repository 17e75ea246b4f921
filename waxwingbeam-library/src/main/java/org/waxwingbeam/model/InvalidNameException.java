package org.waxwingbeam.model;

/**
 * Thrown when a name is not well-formed.
 *
 * @since 0.1.0
 */
public final class InvalidNameException extends IllegalArgumentException {
  /** The expected format, for error messages. */
  public static final String EXPECTED =
      "1 to %d lower-case letters, digits, dots or hyphens, starting with a letter or digit"
          .formatted(NameFormat.MAX_LENGTH);

  private static final long serialVersionUID = 1L;

  private final String kind;
  private final String value;

  /**
   * Creates the exception.
   *
   * @param kind the kind of object that has the name, such as {@code service}
   * @param value the invalid name
   */
  public InvalidNameException(String kind, String value) {
    super("%s name '%s': expected %s".formatted(kind, value, EXPECTED));
    this.kind = kind;
    this.value = value;
  }

  /** Returns the kind of object that has the name. */
  public String kind() {
    return kind;
  }

  /** Returns the invalid name. */
  public String value() {
    return value;
  }
}
