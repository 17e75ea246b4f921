/** The control daemon. */
package org.waxwingbeam.daemon.control;
