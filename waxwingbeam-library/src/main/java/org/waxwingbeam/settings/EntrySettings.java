package org.waxwingbeam.settings;

import java.nio.file.Path;
import java.util.List;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * The settings of an entry instance.
 *
 * @param instance the name of this instance
 * @param dataCentre the data centre in which this instance runs
 * @param callers where to listen for callers
 * @param targets where to listen for announcements of targets
 * @param platform where to listen for readiness and liveness checks of the platform
 * @param peers where to listen for other entry instances
 * @param metrics where to serve metrics
 * @param controlEndpoints the addresses of the control replicas
 * @param tokenFile the file with the credential shared by the processes of the system
 * @param callerLimits limits for connections of callers
 * @param choice how targets are chosen
 * @param workers number of event loops that serve callers and targets
 * @param contactMs maximum time after which a silent connection to another process of the system is
 *     replaced, in milliseconds
 * @since 0.1.0
 */
public record EntrySettings(
    InstanceName instance,
    DataCentreName dataCentre,
    Endpoint callers,
    Endpoint targets,
    Endpoint platform,
    Endpoint peers,
    Endpoint metrics,
    List<Endpoint> controlEndpoints,
    Path tokenFile,
    CallerLimits callerLimits,
    ChoiceSettings choice,
    int workers,
    long contactMs) {

  /** Copies the list of addresses. */
  public EntrySettings {
    controlEndpoints = List.copyOf(controlEndpoints);
  }

  /**
   * Limits for connections of callers.
   *
   * @param headerBytes maximum size of a request head, in bytes
   * @param headerTimeoutMs maximum time for a request head to arrive, in milliseconds
   * @param keepAliveIdleMs maximum time that an idle connection is kept open, in milliseconds
   */
  public record CallerLimits(int headerBytes, long headerTimeoutMs, long keepAliveIdleMs) {}

  /**
   * How targets are chosen.
   *
   * @param policy the name of the policy
   */
  public record ChoiceSettings(String policy) {}
}
