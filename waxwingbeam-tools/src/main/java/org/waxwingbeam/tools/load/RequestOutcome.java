package org.waxwingbeam.tools.load;

/**
 * The outcome of one request of a load run.
 *
 * @param token id that is unique in the run; stand-in targets record it with each run of a request
 * @param key the idempotency key, or empty text
 * @param method the HTTP method
 * @param path path and query
 * @param entry index of the entry instance to which it was sent
 * @param kind the kind of outcome
 * @param status the HTTP status, or 0 without a response
 * @param error the value of {@code waxwingbeam-error}, or empty text
 * @param run the value of {@code waxwingbeam-run}, or empty text
 * @param dataCentre the data centre of the target that responded, or empty text
 * @param version the version of the target that responded, or empty text
 * @param startedMs when it was due, in milliseconds since the epoch
 * @param latencyNanos time from when it was due to its end
 * @param bytes size of the received response body
 * @since 0.1.0
 */
public record RequestOutcome(
    String token,
    String key,
    String method,
    String path,
    int entry,
    Kind kind,
    int status,
    String error,
    String run,
    String dataCentre,
    String version,
    long startedMs,
    long latencyNanos,
    long bytes) {

  /** Kinds of outcome. */
  public enum Kind {
    /** A complete response with a status below 400 and the expected content. */
    OK,
    /** A response with the header {@code waxwingbeam-error}, which the system itself sends. */
    REFUSED,
    /** A response from a target with a status of 400 or above. */
    FAILED,
    /** A complete response with the content of another request, or corrupted content. */
    WRONG_CONTENT,
    /** The connection ended in the middle of the response. */
    TRUNCATED,
    /** The connection ended before the response. */
    CONNECTION_LOST,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** No complete response arrived in time. */
    TIMED_OUT
  }

  /** Returns the latency in milliseconds. */
  public double latencyMs() {
    return latencyNanos / 1e6;
  }

  /** Returns the outcome as a JSON object. */
  public String json() {
    return ("{\"token\":\"%s\",\"key\":\"%s\",\"method\":\"%s\",\"path\":\"%s\",\"entry\":%d,"
            + "\"kind\":\"%s\",\"status\":%d,\"error\":\"%s\",\"run\":\"%s\","
            + "\"dataCentre\":\"%s\",\"version\":\"%s\",\"startedMs\":%d,\"latencyMs\":%.3f,"
            + "\"bytes\":%d}")
        .formatted(
            token,
            key,
            method,
            path,
            entry,
            kind,
            status,
            error,
            run,
            dataCentre,
            version,
            startedMs,
            latencyMs(),
            bytes);
  }
}
