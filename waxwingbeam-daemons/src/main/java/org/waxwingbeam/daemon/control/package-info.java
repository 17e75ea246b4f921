/** The control daemon: one control replica with its servers for replicas, entries and operators. */
package org.waxwingbeam.daemon.control;
