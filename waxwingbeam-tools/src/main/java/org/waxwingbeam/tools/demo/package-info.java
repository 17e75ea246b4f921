/** Checks from outside what a run of real processes kept of the promises. */
package org.waxwingbeam.tools.demo;
