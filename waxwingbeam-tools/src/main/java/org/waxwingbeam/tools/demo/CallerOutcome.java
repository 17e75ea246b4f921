package org.waxwingbeam.tools.demo;

/**
 * The outcome of one request, as recorded by the load command.
 *
 * @param token id that is unique in the run
 * @param key the idempotency key, or empty text
 * @param kind name of the {@link org.waxwingbeam.tools.load.RequestOutcome.Kind}
 * @param error the value of {@code waxwingbeam-error}, or empty text
 * @param run the value of {@code waxwingbeam-run}, or empty text
 * @param dataCentre the data centre of the target that responded, or empty text
 * @param startedMs when it was due, in milliseconds since the epoch
 * @param latencyMs time from when it was due to its end, in milliseconds
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
