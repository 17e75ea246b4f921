package org.waxwingbeam.tools.load;

import java.util.List;
import org.waxwingbeam.settings.Endpoint;

/**
 * The load to generate.
 *
 * @param entries addresses of the entry instances, used in turn
 * @param requests the kinds of request, chosen at random by weight
 * @param headers additional headers of every request
 * @param ratePerSecond mean number of requests per second
 * @param arrivals distribution of the intervals between requests
 * @param durationMs time after which no request starts, in milliseconds
 * @param count maximum number of requests
 * @param connections maximum number of connections to each entry, for each thread
 * @param timeoutMs time without a complete response after which a request is given up, in
 *     milliseconds
 * @param keys whether requests other than GET and HEAD carry an idempotency key
 * @param bodyBytes size of the body of POST and PUT requests, in bytes
 * @param threads number of event loops
 * @param seed seed of the random numbers
 * @since 0.1.0
 */
public record LoadPlan(
    List<Endpoint> entries,
    List<RequestKind> requests,
    List<Header> headers,
    double ratePerSecond,
    Arrivals arrivals,
    long durationMs,
    long count,
    int connections,
    long timeoutMs,
    boolean keys,
    int bodyBytes,
    int threads,
    long seed) {

  /** Copies the lists and checks the values. */
  public LoadPlan {
    entries = List.copyOf(entries);
    requests = List.copyOf(requests);
    headers = List.copyOf(headers);
    if (entries.isEmpty() || requests.isEmpty()) {
      throw new IllegalArgumentException(
          "%d entry instances, %d kinds of request: expected at least one of each"
              .formatted(entries.size(), requests.size()));
    }
    if (ratePerSecond <= 0 || threads < 1 || connections < 1) {
      throw new IllegalArgumentException(
          "rate %s, threads %d, connections %d: expected values above 0"
              .formatted(ratePerSecond, threads, connections));
    }
  }

  /** Distributions of the intervals between requests. */
  public enum Arrivals {
    /** Exponentially distributed intervals. */
    POISSON,
    /** Equal intervals. */
    UNIFORM
  }

  /**
   * One kind of request.
   *
   * @param method the HTTP method
   * @param host the value of the Host header
   * @param path path and query
   * @param weight how often it is chosen, relative to the others
   */
  public record RequestKind(String method, String host, String path, double weight) {
    /**
     * Parses the text form {@code METHOD HOST/PATH [WEIGHT]}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static RequestKind parse(String text) {
      String[] words = text.trim().split("\\s+", -1);
      int slash = words.length < 2 ? -1 : words[1].indexOf('/');
      if (words.length > 3 || slash < 1) {
        throw new IllegalArgumentException(
            "request '%s': expected METHOD HOST/PATH [WEIGHT]".formatted(text));
      }
      double weight = words.length == 3 ? Double.parseDouble(words[2]) : 1;
      return new RequestKind(
          words[0], words[1].substring(0, slash), words[1].substring(slash), weight);
    }

    boolean hasBody() {
      return method.equals("POST") || method.equals("PUT");
    }

    boolean isSafe() {
      return method.equals("GET") || method.equals("HEAD");
    }
  }

  /**
   * A request header.
   *
   * @param name its name
   * @param value its value
   */
  public record Header(String name, String value) {
    /**
     * Parses the text form {@code NAME: VALUE}.
     *
     * @throws IllegalArgumentException if the text has no colon or no name
     */
    public static Header parse(String text) {
      int colon = text.indexOf(':');
      if (colon < 1) {
        throw new IllegalArgumentException("header '%s': expected NAME: VALUE".formatted(text));
      }
      return new Header(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
    }
  }
}
