/**
 * Serves callers over HTTP/1.1: {@code CallerServer} accepts connections, {@code CallerConnection}
 * serves one connection, {@code Exchange} one request, and {@code TargetAttempt} sends a request to
 * one target.
 */
package org.waxwingbeam.caller.net;
