/** Starts the entry and control daemons and the operate command. */
package org.waxwingbeam.daemon;
