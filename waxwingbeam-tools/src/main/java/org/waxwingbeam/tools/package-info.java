/** The development command line: daemons, stand-in targets, load generator, measurements, demo. */
package org.waxwingbeam.tools;
