package org.waxwingbeam.readiness;

import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;

/**
 * Conditions that decide whether an entry instance accepts new requests.
 *
 * @param stopping whether it is shutting down
 * @param configured whether it has applied any configuration
 * @param dataCentreOut whether its data centre is out of service
 * @param isolated whether it is cut off from the control replicas and from most entry instances
 * @since 0.1.0
 */
public record EntryReadiness(
    boolean stopping, boolean configured, boolean dataCentreOut, boolean isolated) {

  /** Returns the reason for refusing new requests, or empty if the entry instance accepts them. */
  public Optional<ErrorKind> refusal() {
    if (stopping) {
      return Optional.of(ErrorKind.SHUTTING_DOWN);
    }
    if (!configured || isolated) {
      return Optional.of(ErrorKind.ISOLATED);
    }
    return dataCentreOut ? Optional.of(ErrorKind.DATA_CENTRE_OUT) : Optional.empty();
  }
}
