/** Reads and writes the text forms of quantities and names. */
package org.waxwingbeam.text;
