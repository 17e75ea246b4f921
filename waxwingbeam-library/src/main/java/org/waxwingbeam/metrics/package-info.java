/** Counts and exposes what the daemons do. */
package org.waxwingbeam.metrics;
