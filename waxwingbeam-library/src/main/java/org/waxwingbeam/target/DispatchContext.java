package org.waxwingbeam.target;

import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import org.waxwingbeam.model.Configuration;

/**
 * Holds what the dispatchers of all services share.
 *
 * @param registry the targets of every service
 * @param configuration the configuration that this entry instance applies
 * @param policy how targets are chosen
 * @param seed the seed of random choices
 * @param attempts every attempt that waits or is under way, by its identifier
 */
record DispatchContext(
    TargetRegistry registry,
    Supplier<Configuration> configuration,
    ChoicePolicy policy,
    long seed,
    ConcurrentMap<Long, Attempt> attempts) {}
