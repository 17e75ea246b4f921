/** Holds test doubles at the interfaces, shared by measurements and tests. */
package org.waxwingbeam.tools.testing;
