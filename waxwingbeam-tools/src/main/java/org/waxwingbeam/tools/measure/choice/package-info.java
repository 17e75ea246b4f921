/** Measures the choice of targets, cold starts and data centres that leave and return. */
package org.waxwingbeam.tools.measure.choice;
