package org.waxwingbeam.target;

import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * State shared by the dispatchers of all services.
 *
 * @param settings the entry instance and its choice policy
 * @param registry the targets of every service
 * @param configuration supplies the configuration that this entry instance applies
 * @param view supplies the live entry instances
 * @param versions selects the version of the target for each attempt
 * @param warmupTable the warm-up states of the targets
 * @param reinstatements which configuration last put each data centre back into service
 * @param attempts all waiting and outstanding attempts by id
 */
record DispatchContext(
    DispatchSettings settings,
    TargetRegistry registry,
    Supplier<Configuration> configuration,
    Supplier<LeasedEntryView> view,
    VersionSelector versions,
    WarmupTable warmupTable,
    DataCentreReinstatements reinstatements,
    ConcurrentMap<Long, Attempt> attempts) {}
