/** Parsing and formatting of quantities, and suggestions for mistyped names. */
package org.waxwingbeam.text;
