package org.waxwingbeam.target;

import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;

/**
 * Settings of the dispatcher of one entry instance.
 *
 * @param self the entry instance
 * @param dataCentre the data centre in which it runs
 * @param policy policy by which targets are chosen
 * @param handoverNanos time that a new owner of a cold target waits, once its entry view is
 *     exclusive, for the previous owner's exchanges to end
 * @param seed seed of the random number generator
 * @since 0.1.0
 */
public record DispatchSettings(
    InstanceName self,
    DataCentreName dataCentre,
    ChoicePolicy policy,
    long handoverNanos,
    long seed) {}
