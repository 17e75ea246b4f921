/** Connects control replicas to each other. */
package org.waxwingbeam.replica.net;
