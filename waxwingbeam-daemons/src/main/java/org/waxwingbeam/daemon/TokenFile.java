package org.waxwingbeam.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the credential from a token file.
 *
 * @since 0.1.0
 */
public final class TokenFile {
  private static final int MIN_TOKEN_CHARACTERS = 16;

  private TokenFile() {}

  /**
   * Returns the credential without white space around it.
   *
   * @throws IOException if the file cannot be read or its credential is too short
   */
  public static String read(Path file) throws IOException {
    String token = Files.readString(file).strip();
    if (token.length() < MIN_TOKEN_CHARACTERS) {
      throw new IOException(
          "token file %s: expected at least %d characters, found %d"
              .formatted(file, MIN_TOKEN_CHARACTERS, token.length()));
    }
    return token;
  }
}
