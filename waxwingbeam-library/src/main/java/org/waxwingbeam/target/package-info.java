/** Decides which target serves each request, and what is known of targets. */
package org.waxwingbeam.target;
