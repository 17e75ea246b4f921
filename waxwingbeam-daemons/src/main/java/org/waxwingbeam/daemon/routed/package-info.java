/** The entry instance and control replica of deployments that use a routing document. */
package org.waxwingbeam.daemon.routed;
