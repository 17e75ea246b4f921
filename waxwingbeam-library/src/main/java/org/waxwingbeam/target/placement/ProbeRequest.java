package org.waxwingbeam.target.placement;

import org.waxwingbeam.model.TargetId;

/**
 * Orders one status check.
 *
 * @param target where it goes
 * @param instance the identity that the target has stated
 * @param path the path of the service's status check
 * @param connectionLimit connections that all entry instances may hold to the target
 * @since 0.1.0
 */
public record ProbeRequest(TargetId target, String instance, String path, int connectionLimit) {}
