/**
 * Connects entry instances to control replicas over TCP, with length-prefixed protobuf messages.
 */
package org.waxwingbeam.control.net;
