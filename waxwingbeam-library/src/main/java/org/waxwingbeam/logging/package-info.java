/** Structured logging: one line of key=value pairs for each event. */
package org.waxwingbeam.logging;
