/** Checks the records of a demo run of real processes against the system's guarantees. */
package org.waxwingbeam.tools.demo;
