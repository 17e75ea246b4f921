package org.waxwingbeam.target.version;

import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.ServiceName;

/**
 * Holds what a service's template says about version moves.
 *
 * @param unprovenPerMille greatest share of requests that an unproven version receives, per mille
 * @param soakMs time for which the old version is kept after the new one carries all traffic
 * @param pinsAccounts whether all requests of a client account go to one version
 * @since 0.1.0
 */
public record MoveParameters(int unprovenPerMille, long soakMs, boolean pinsAccounts) {
  private static final int PER_MILLE_IN_PERCENT = 10;

  /** Returns the terms of a service, or the defaults if no template names it. */
  public static MoveParameters of(Configuration configuration, ServiceName service) {
    Parameters parameters =
        configuration.templates().values().stream()
            .filter(template -> template.service().equals(service))
            .findFirst()
            .map(template -> template.parameters())
            .orElse(Parameters.NONE);
    return new MoveParameters(
        (int) parameters.value(Parameter.UNPROVEN_SHARE) * PER_MILLE_IN_PERCENT,
        parameters.value(Parameter.SOAK),
        parameters.value(Parameter.PIN_VERSION_BY_ACCOUNT) == 1);
  }
}
