/**
 * Measures how memory, messages and processor time grow with the number of services and targets.
 */
package org.waxwingbeam.tools.measure.capacity;
