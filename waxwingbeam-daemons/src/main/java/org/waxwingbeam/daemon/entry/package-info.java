/** Composes the entry daemon. */
package org.waxwingbeam.daemon.entry;
