package org.waxwingbeam.model;

/**
 * The name of a service, a group of targets that serve the same requests.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public ServiceName {
    NameFormat.check("service", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
