package org.waxwingbeam.model;

/**
 * The name of a client account, the party on whose behalf a caller sends requests.
 *
 * @param value lower-case letters, digits, dots and hyphens, at most {@value NameFormat#MAX_LENGTH}
 *     characters
 * @since 0.1.0
 */
public record AccountName(String value) implements Comparable<AccountName> {
  /**
   * Creates a name.
   *
   * @throws InvalidNameException if the value is not a well-formed name
   */
  public AccountName {
    NameFormat.check("client account", value);
  }

  @Override
  public int compareTo(AccountName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
