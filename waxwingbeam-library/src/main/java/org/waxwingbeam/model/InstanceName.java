package org.waxwingbeam.model;

/**
 * The name of an entry instance or a control replica.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record InstanceName(String value) implements Comparable<InstanceName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public InstanceName {
    NameFormat.check("instance", value);
  }

  @Override
  public int compareTo(InstanceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
