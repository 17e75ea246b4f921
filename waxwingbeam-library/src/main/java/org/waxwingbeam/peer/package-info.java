/** Decides what entry instances tell each other. */
package org.waxwingbeam.peer;
