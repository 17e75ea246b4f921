package org.waxwingbeam.target.placement;

import org.waxwingbeam.model.TargetId;

/**
 * A status check that is to be sent.
 *
 * @param target the address of the target
 * @param instance the identity that the target has announced
 * @param path the status check path of the service
 * @param connectionLimit connections that all entry instances together may hold to the target
 * @since 0.1.0
 */
public record ProbeRequest(TargetId target, String instance, String path, int connectionLimit) {}
