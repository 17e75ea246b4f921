package org.waxwingbeam.settings;

import java.nio.file.Path;
import java.util.List;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * Holds the settings of an entry instance.
 *
 * @param instance the name of this instance
 * @param dataCentre the data centre in which it runs
 * @param callers where callers connect
 * @param targets where targets post their announcements
 * @param platform where the platform asks for readiness and liveness
 * @param peers where other entry instances connect
 * @param metrics where metrics are read
 * @param controlEndpoints the control replicas' addresses for entry instances
 * @param tokenFile holds the credential shared by the system's own processes
 * @param callerLimits limits on what callers send
 * @param choice how targets are chosen
 * @param workers event loops that serve callers and targets
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
    int workers) {

  /** Copies the list of addresses. */
  public EntrySettings {
    controlEndpoints = List.copyOf(controlEndpoints);
  }

  /**
   * Limits what callers may send.
   *
   * @param headerBytes longest request head, in bytes
   * @param headerTimeoutMs longest time for a request head to arrive, in milliseconds
   * @param keepAliveIdleMs longest time that an unused connection is kept, in milliseconds
   */
  public record CallerLimits(int headerBytes, long headerTimeoutMs, long keepAliveIdleMs) {}

  /**
   * Says how targets are chosen.
   *
   * @param policy the name of the policy
   */
  public record ChoiceSettings(String policy) {}
}
