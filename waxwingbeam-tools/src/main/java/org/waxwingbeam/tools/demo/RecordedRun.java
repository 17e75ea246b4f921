package org.waxwingbeam.tools.demo;

/**
 * One run of a request at a stand-in target.
 *
 * @param token the caller's token of the request
 * @param key the idempotency key, or empty text
 * @param dataCentre the target's data centre
 * @param startMs when the run started, in milliseconds since the epoch
 */
record RecordedRun(String token, String key, String dataCentre, long startMs) {}
