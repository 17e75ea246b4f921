/** Connects entry instances to control replicas. */
package org.waxwingbeam.control.net;
