package org.waxwingbeam.daemon.operate;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.settings.Endpoint;

/**
 * Holds the options of the operate command.
 *
 * @param controlEndpoints the control replicas' addresses for operators
 * @param tokenFile holds the operators' credential
 * @param operator who asks, for the history
 * @param basedOn the number that a change was made for; empty for the current one
 * @param changeId identifies the change; empty for a fresh one
 * @param waitUntilInForce whether to wait until a change is in force
 * @param timeoutMs how long to try and to wait, in milliseconds
 * @param force whether to skip the checks of a data centre's name
 */
record OperateOptions(
    List<Endpoint> controlEndpoints,
    Path tokenFile,
    String operator,
    Optional<Long> basedOn,
    Optional<String> changeId,
    boolean waitUntilInForce,
    long timeoutMs,
    boolean force) {}
