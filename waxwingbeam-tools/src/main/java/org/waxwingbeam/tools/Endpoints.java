package org.waxwingbeam.tools;

import org.waxwingbeam.settings.Endpoint;

/**
 * Parses addresses given on the command line.
 *
 * @since 0.1.0
 */
public final class Endpoints {
  private Endpoints() {}

  /**
   * Parses an address such as {@code 127.0.0.1:8080}.
   *
   * @throws IllegalArgumentException if the text is not of the form {@code HOST:PORT}
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
      throw new IllegalArgumentException("address '%s': expected HOST:PORT".formatted(text));
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }
}
