/** Reads and validates the settings files of the daemons, and template and account definitions. */
package org.waxwingbeam.settings;
