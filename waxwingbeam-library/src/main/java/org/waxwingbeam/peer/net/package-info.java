/** Connects entry instances with each other. */
package org.waxwingbeam.peer.net;
