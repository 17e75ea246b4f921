/** Metrics of the daemons. */
package org.waxwingbeam.metrics;
