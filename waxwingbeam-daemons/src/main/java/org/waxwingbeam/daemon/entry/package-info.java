/** The entry daemon: wires the caller, target, peer and readiness servers of an entry instance. */
package org.waxwingbeam.daemon.entry;
