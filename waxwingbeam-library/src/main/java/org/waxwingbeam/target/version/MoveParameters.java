package org.waxwingbeam.target.version;

import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.ServiceName;

/**
 * Parameters of a service's template that apply to version moves.
 *
 * @param unprovenPerMille maximum share of requests that an unproven version receives, per mille
 * @param soakMs time for which the old version is kept after the new one receives all traffic
 * @param pinsAccounts whether all requests of a client account go to the same version
 * @since 0.1.0
 */
public record MoveParameters(int unprovenPerMille, long soakMs, boolean pinsAccounts) {
  private static final int PER_MILLE_IN_PERCENT = 10;

  /** Returns the parameters of a service, or the defaults if no template is for it. */
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
