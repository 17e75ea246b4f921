/** Measures version moves on a small model of entries, targets and the leader. */
package org.waxwingbeam.tools.measure.versions;
