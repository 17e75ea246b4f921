/** Measures what an entry instance adds to the way from a caller to a target. */
package org.waxwingbeam.tools.measure.path;
