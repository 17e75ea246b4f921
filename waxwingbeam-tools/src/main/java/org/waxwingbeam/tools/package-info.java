/** Holds the stand-in target, the load generator and the measurements. */
package org.waxwingbeam.tools;
