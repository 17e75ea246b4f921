/** Decides on the changes that operators make to the configuration. */
package org.waxwingbeam.operator;
