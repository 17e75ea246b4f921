/** Measures target selection, cold starts and evacuations of data centres on simulated fleets. */
package org.waxwingbeam.tools.measure.choice;
