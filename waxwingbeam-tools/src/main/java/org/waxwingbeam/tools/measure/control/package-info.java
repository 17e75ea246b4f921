/** Measures the control replicas: runs under faults, restarts and message sizes. */
package org.waxwingbeam.tools.measure.control;
