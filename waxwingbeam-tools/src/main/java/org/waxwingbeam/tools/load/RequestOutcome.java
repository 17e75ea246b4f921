package org.waxwingbeam.tools.load;

/**
 * Tells how one request of a load run ended.
 *
 * @param token unique in the run; stand-in targets record it with what they ran
 * @param key the idempotency key, or empty text
 * @param method the HTTP method
 * @param path path and query
 * @param entry index of the entry instance that was asked
 * @param kind how it ended
 * @param status the HTTP status, or 0 if no answer came
 * @param error the value of {@code waxwingbeam-error}, or empty text
 * @param run the value of {@code waxwingbeam-run}, or empty text
 * @param dataCentre the data centre of the target that answered, or empty text
 * @param version the version of the target that answered, or empty text
 * @param startedMs when it was due, in milliseconds since the epoch
 * @param latencyNanos time from when it was due to the end of its answer
 * @param bytes size of the answer's body
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

  /** Tells how a request ended. */
  public enum Kind {
    /** A whole answer with a status below 400 and the right content. */
    OK,
    /** An answer with an error kind of the system. */
    REFUSED,
    /** An answer with a status of 400 or above that a target gave. */
    FAILED,
    /** A whole answer with the content of another request, or damaged content. */
    WRONG_CONTENT,
    /** The connection ended in the middle of the answer. */
    TRUNCATED,
    /** The connection ended before any part of the answer. */
    CONNECTION_LOST,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** No whole answer came in time. */
    TIMED_OUT
  }

  /** Returns the latency in milliseconds. */
  public double latencyMs() {
    return latencyNanos / 1e6;
  }

  /** Returns one JSON object. */
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
