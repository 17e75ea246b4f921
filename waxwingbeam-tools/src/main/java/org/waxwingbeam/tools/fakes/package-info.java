/** Holds small fakes at the interfaces, shared by measurements and tests. */
package org.waxwingbeam.tools.fakes;
