/** Measures whether requests get their own whole answers and run at most once under faults. */
package org.waxwingbeam.tools.measure.requests;
