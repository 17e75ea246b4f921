package org.waxwingbeam.model;

/**
 * The name of a route, a kind of request within a service.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record RouteName(String value) implements Comparable<RouteName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public RouteName {
    NameFormat.check("route", value);
  }

  @Override
  public int compareTo(RouteName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
