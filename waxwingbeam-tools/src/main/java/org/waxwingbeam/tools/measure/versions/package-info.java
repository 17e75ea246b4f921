/** Measures version moves on a model of entry instances, targets and the control leader. */
package org.waxwingbeam.tools.measure.versions;
