/**
 * Measures target selection, cold starts and data centres taken out of service on simulated fleets.
 */
package org.waxwingbeam.tools.measure.choice;
