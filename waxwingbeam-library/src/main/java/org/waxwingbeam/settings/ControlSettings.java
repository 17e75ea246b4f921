package org.waxwingbeam.settings;

import java.nio.file.Path;
import java.util.List;
import org.waxwingbeam.model.InstanceName;

/**
 * The settings of a control instance.
 *
 * @param instance the name of this instance
 * @param dataFolder the folder for all files of this instance
 * @param replicas where to listen for other control replicas
 * @param entries where to listen for entry instances
 * @param operators where to listen for operators
 * @param metrics where to serve metrics
 * @param initialReplicas the addresses of the first voters, including this one; used only when the
 *     cluster is created
 * @param tokenFile the file with the credential shared by the processes of the system
 * @param operatorTokenFile the file with the operators' credential
 * @param contactMs maximum time after which a silent connection to another replica is replaced, in
 *     milliseconds
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
    Path operatorTokenFile,
    long contactMs) {

  /** Copies the list of addresses. */
  public ControlSettings {
    initialReplicas = List.copyOf(initialReplicas);
  }
}
