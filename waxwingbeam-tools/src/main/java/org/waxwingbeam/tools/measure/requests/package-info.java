/** Checks under faults that requests get complete responses and run at most once. */
package org.waxwingbeam.tools.measure.requests;
