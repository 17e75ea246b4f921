package org.waxwingbeam.readiness;

import java.util.Optional;
import org.waxwingbeam.model.ErrorKind;

/**
 * Holds what decides whether an entry instance takes new requests.
 *
 * @param stopping whether it is shutting down
 * @param configured whether it has applied any configuration
 * @param dataCentreOut whether its data centre is out of service
 * @param isolated whether it is cut off from the control replicas and from most entry instances
 * @since 0.1.0
 */
public record EntryReadiness(
    boolean stopping, boolean configured, boolean dataCentreOut, boolean isolated) {

  /** Returns why the entry instance takes no new request, or empty if it does. */
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
