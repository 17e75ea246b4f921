package org.waxwingbeam.tools.demo;

/**
 * How one request ended for its caller.
 *
 * @param token unique in the run
 * @param key the idempotency key, or empty text
 * @param kind the name of the outcome's kind
 * @param error the value of {@code waxwingbeam-error}, or empty text
 * @param run the value of {@code waxwingbeam-run}, or empty text
 * @param dataCentre the data centre of the target that answered, or empty text
 * @param startedMs when it was due, in milliseconds since the epoch
 * @param latencyMs time from when it was due to the end of its answer, in milliseconds
 */
record CallerOutcome(
    String token,
    String key,
    String kind,
    String error,
    String run,
    String dataCentre,
    long startedMs,
    double latencyMs) {}
