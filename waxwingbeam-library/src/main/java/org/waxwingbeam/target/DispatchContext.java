package org.waxwingbeam.target;

import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * Holds what the dispatchers of all services share.
 *
 * @param settings the entry instance and its policy
 * @param registry the targets of every service
 * @param configuration the configuration that this entry instance applies
 * @param view the live entry instances
 * @param versions selects the version for each attempt
 * @param warmth which targets are past their cold start
 * @param returns when data centres came back into service
 * @param attempts every attempt that waits or is under way, by its identifier
 */
record DispatchContext(
    DispatchSettings settings,
    TargetRegistry registry,
    Supplier<Configuration> configuration,
    Supplier<LeasedEntryView> view,
    VersionSelector versions,
    WarmupTable warmth,
    DataCentreReinstatements returns,
    ConcurrentMap<Long, Attempt> attempts) {}
