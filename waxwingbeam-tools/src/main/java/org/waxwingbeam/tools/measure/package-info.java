/** Runs seeded measurements of the system, and checks the results against stated bounds. */
package org.waxwingbeam.tools.measure;
