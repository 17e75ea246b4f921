/** Holds the settings of each daemon. */
package org.waxwingbeam.settings;
