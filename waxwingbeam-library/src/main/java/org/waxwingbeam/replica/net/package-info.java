/** Runs a control replica on an event loop and connects it to the other control replicas. */
package org.waxwingbeam.replica.net;
