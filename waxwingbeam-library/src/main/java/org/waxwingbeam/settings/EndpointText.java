package org.waxwingbeam.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses IP addresses with a port in the format of settings files and command lines.
 *
 * <pre>{@code
 * EndpointText.parse("10.0.0.7:8080"); // Optional[10.0.0.7:8080]
 * }</pre>
 *
 * @since 0.1.0
 */
public final class EndpointText {
  private static final int MAX_PORT = 65_535;
  private static final Pattern V4 = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final Pattern V6 = Pattern.compile("\\[([0-9a-fA-F:.]+)]:(\\d{1,5})");

  private EndpointText() {}

  /** Parses an address; returns empty if the text is malformed. */
  public static Optional<Endpoint> parse(String text) {
    Matcher v4 = V4.matcher(text);
    if (v4.matches() && isAddressV4(v4.group(1))) {
      return endpoint(v4.group(1), v4.group(2));
    }
    Matcher v6 = V6.matcher(text);
    return v6.matches() && v6.group(1).contains(":")
        ? endpoint(v6.group(1), v6.group(2))
        : Optional.empty();
  }

  private static boolean isAddressV4(String host) {
    return Pattern.compile("\\.")
        .splitAsStream(host)
        .mapToInt(Integer::parseInt)
        .allMatch(part -> part <= 255);
  }

  private static Optional<Endpoint> endpoint(String host, String port) {
    int number = Integer.parseInt(port);
    return number <= MAX_PORT ? Optional.of(new Endpoint(host, number)) : Optional.empty();
  }
}
