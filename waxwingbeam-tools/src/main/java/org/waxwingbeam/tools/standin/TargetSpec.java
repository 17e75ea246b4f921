package org.waxwingbeam.tools.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The specification of one stand-in target.
 *
 * @param service the service that it belongs to
 * @param host the IP address on which it listens
 * @param port the port on which it listens; 0 lets the operating system choose
 * @param version the version that it runs
 * @param dataCentre the data centre that it announces
 * @param slots maximum number of running requests
 * @param queue maximum number of queued requests
 * @param coldCapacity number of requests that it can run at once while it is cold
 * @param cold whether it starts cold
 * @param warmUpMs time after which a cold target is warm, in milliseconds; 0 means never by itself
 * @param serviceTimeMs mean service time of a request, in milliseconds
 * @param distribution distribution of the service times
 * @param restartMs time after a crash until it listens again, in milliseconds; 0 means never
 * @since 0.1.0
 */
public record TargetSpec(
    String service,
    String host,
    int port,
    String version,
    String dataCentre,
    int slots,
    int queue,
    int coldCapacity,
    boolean cold,
    long warmUpMs,
    double serviceTimeMs,
    Distribution distribution,
    long restartMs) {

  private static final Set<String> KEYS =
      Set.of(
          "service",
          "host",
          "port",
          "count",
          "version",
          "data-centre",
          "slots",
          "queue",
          "cold-capacity",
          "cold",
          "warm-up",
          "service-time",
          "distribution",
          "restart");

  /** Distributions of service times. */
  public enum Distribution {
    /** Every request takes the mean service time. */
    FIXED,
    /** Service times are exponentially distributed. */
    EXPONENTIAL
  }

  /**
   * Parses a specification such as {@code service=listings,port=9001,count=3,data-centre=north}.
   *
   * @param text {@code key=value} pairs separated by commas; {@code count} is the number of targets
   *     to return, on consecutive ports
   * @throws IllegalArgumentException if a pair is malformed, or its key or value is invalid
   */
  public static List<TargetSpec> parse(String text) {
    Map<String, String> pairs = pairs(text);
    int count = Integer.parseInt(pairs.getOrDefault("count", "1"));
    int port = Integer.parseInt(pairs.getOrDefault("port", "0"));
    TargetSpec first = firstSpec(pairs, port);
    return IntStream.range(0, count)
        .mapToObj(index -> first.withPort(port == 0 ? 0 : port + index))
        .toList();
  }

  /** Returns a copy that listens on another port. */
  public TargetSpec withPort(int newPort) {
    return new TargetSpec(
        service,
        host,
        newPort,
        version,
        dataCentre,
        slots,
        queue,
        coldCapacity,
        cold,
        warmUpMs,
        serviceTimeMs,
        distribution,
        restartMs);
  }

  private static TargetSpec firstSpec(Map<String, String> pairs, int port) {
    return new TargetSpec(
        pairs.getOrDefault("service", "listings"),
        pairs.getOrDefault("host", "127.0.0.1"),
        port,
        pairs.getOrDefault("version", "v1"),
        pairs.getOrDefault("data-centre", "local"),
        Integer.parseInt(pairs.getOrDefault("slots", "4")),
        Integer.parseInt(pairs.getOrDefault("queue", "64")),
        Integer.parseInt(pairs.getOrDefault("cold-capacity", "1")),
        Boolean.parseBoolean(pairs.getOrDefault("cold", "false")),
        Long.parseLong(pairs.getOrDefault("warm-up", "0")),
        Double.parseDouble(pairs.getOrDefault("service-time", "8")),
        distribution(pairs.getOrDefault("distribution", "exponential")),
        Long.parseLong(pairs.getOrDefault("restart", "0")));
  }

  private static Distribution distribution(String text) {
    return switch (text) {
      case "fixed" -> Distribution.FIXED;
      case "exponential" -> Distribution.EXPONENTIAL;
      default ->
          throw new IllegalArgumentException(
              "distribution=%s: expected fixed or exponential".formatted(text));
    };
  }

  private static Map<String, String> pairs(String text) {
    Map<String, String> pairs = new LinkedHashMap<>();
    for (String pair : text.split(",", -1)) {
      int equals = pair.indexOf('=');
      String key = equals < 0 ? pair : pair.substring(0, equals);
      if (equals < 0 || !KEYS.contains(key)) {
        throw new IllegalArgumentException(
            "target '%s': expected key=value with a key of %s"
                .formatted(pair, KEYS.stream().sorted().toList()));
      }
      pairs.put(key, pair.substring(equals + 1));
    }
    return pairs;
  }
}
