/** Keeps the accepted state in a log that the control replicas agree on. */
package org.waxwingbeam.replica;
