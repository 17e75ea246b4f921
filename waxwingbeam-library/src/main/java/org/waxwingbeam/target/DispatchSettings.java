package org.waxwingbeam.target;

import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * Says for which entry instance a dispatcher decides, and how.
 *
 * @param self the entry instance
 * @param dataCentre where it runs
 * @param policy how targets are chosen
 * @param handoverNanos how long a new owner of a cold target waits, once its view is strict, for
 *     the previous owner's exchanges to end
 * @param seed the seed of random choices
 * @since 0.1.0
 */
public record DispatchSettings(
    InstanceName self,
    DataCentreName dataCentre,
    ChoicePolicy policy,
    long handoverNanos,
    long seed) {}
