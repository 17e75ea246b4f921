/** The operate command, a command-line client of the control replicas' operator interface. */
package org.waxwingbeam.daemon.operate;
