/** Measures the control replicas. */
package org.waxwingbeam.tools.measure.control;
