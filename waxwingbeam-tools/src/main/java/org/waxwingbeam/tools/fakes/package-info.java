/** Small fakes of targets and entries on a manual clock, for measurements and tests. */
package org.waxwingbeam.tools.fakes;
