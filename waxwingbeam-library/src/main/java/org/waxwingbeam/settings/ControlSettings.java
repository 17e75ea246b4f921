package org.waxwingbeam.settings;

import java.nio.file.Path;
import java.util.List;
import org.waxwingbeam.model.InstanceName;

/**
 * Holds the settings of a control instance.
 *
 * @param instance the name of this instance
 * @param dataFolder the folder for all of its files
 * @param replicas where other control replicas connect
 * @param entries where entry instances connect
 * @param operators where operators connect
 * @param metrics where metrics are read
 * @param initialReplicas the addresses of the first voters, this one's among them; used only when
 *     the cluster is created
 * @param tokenFile holds the credential shared by the system's own processes
 * @param operatorTokenFile holds the operators' credential
 * @since 0.1.0
 */
public record ControlSettings(
    InstanceName instance,
    Path dataFolder,
    Endpoint replicas,
    Endpoint entries,
    Endpoint operators,
    Endpoint metrics,
    List<Endpoint> initialReplicas,
    Path tokenFile,
    Path operatorTokenFile) {

  /** Copies the list of addresses. */
  public ControlSettings {
    initialReplicas = List.copyOf(initialReplicas);
  }
}
