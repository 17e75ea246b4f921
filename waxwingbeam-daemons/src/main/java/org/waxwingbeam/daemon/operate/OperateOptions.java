package org.waxwingbeam.daemon.operate;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.settings.Endpoint;

/**
 * Options of the operate command.
 *
 * @param controlEndpoints the control replicas' addresses for operators
 * @param tokenFile the file with the operators' credential
 * @param operator the operator's name, for the history
 * @param basedOn the configuration number that the change is based on; empty for the current one
 * @param changeId the id under which the change is sent; empty to generate one
 * @param waitUntilInForce whether to wait until a change is in force
 * @param timeoutMs how long to retry a request and to wait until a change is in force
 * @param force whether to skip the checks before a data centre is taken out
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
