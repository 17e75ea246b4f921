package org.waxwingbeam.model;

/**
 * The name of a version of the software that a target runs.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record VersionName(String value) implements Comparable<VersionName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public VersionName {
    NameFormat.check("version", value);
  }

  @Override
  public int compareTo(VersionName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
