/**
 * Classifies callers' requests by client account and route, and decides whether a failed attempt is
 * retried or hedged. This package does no I/O; {@code org.waxwingbeam.caller.net} serves the
 * connections.
 */
package org.waxwingbeam.caller;
