/** Measures how state, messages and processor time grow with the size of the system. */
package org.waxwingbeam.tools.measure.capacity;
