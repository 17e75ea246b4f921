package org.waxwingbeam.control;

import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.InstanceName;

/**
 * A request to claim an idempotency key.
 *
 * @param account the client account; keys of different accounts are unrelated
 * @param key the caller's idempotency key
 * @param digest digest of the claimed request's method, path and body, in lower-case hexadecimal
 * @param entry the entry instance that makes the claim
 * @param attempt unique among the claims of one entry instance, across its restarts as well; a
 *     claim that is sent again under the same number gets the same reply
 * @param retentionMs how long the outcome is kept after the request has ended, in milliseconds
 * @param runningMs how long the request may run before its outcome counts as unknown, in
 *     milliseconds
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
