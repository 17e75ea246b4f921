/** Runs the two daemons that serve routed services: the entry instance and the control replica. */
package org.waxwingbeam.daemon.routed;
