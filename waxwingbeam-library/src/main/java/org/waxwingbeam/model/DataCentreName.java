package org.waxwingbeam.model;

/**
 * The name of a data centre.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public DataCentreName {
    NameFormat.check("data centre", value);
  }

  @Override
  public int compareTo(DataCentreName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
