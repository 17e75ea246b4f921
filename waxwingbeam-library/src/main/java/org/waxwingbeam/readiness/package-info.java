/** Decides what an entry instance tells the platform that it runs on. */
package org.waxwingbeam.readiness;
