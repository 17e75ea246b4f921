/** Runs measurements and checks their bounds. */
package org.waxwingbeam.tools.measure;
