package org.waxwingbeam.model;

/**
 * The name of a template of service parameters.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record TemplateName(String value) implements Comparable<TemplateName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public TemplateName {
    NameFormat.check("template", value);
  }

  @Override
  public int compareTo(TemplateName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
