package org.waxwingbeam.control;

import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.InstanceName;

/**
 * Asks for a claim on an idempotency key.
 *
 * @param account the client account; keys of different accounts are unrelated
 * @param key the caller's idempotency key
 * @param digest digest of method, path and body, as lower-case hexadecimal text
 * @param entry the entry instance that asks
 * @param attempt distinguishes the claims of one entry instance, across its restarts as well; the
 *     same claim sent again gets the same answer
 * @param retentionMs how long the outcome is remembered, in milliseconds
 * @param runningMs how long the request may run before its outcome counts as lost, in milliseconds
 * @param timeoutMs how long to wait for the control log, in milliseconds
 * @since 0.1.0
 */
public record ClaimRequest(
    AccountName account,
    String key,
    String digest,
    InstanceName entry,
    long attempt,
    long retentionMs,
    long runningMs,
    long timeoutMs) {}
