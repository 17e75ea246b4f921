/**
 * Connects entry instances to control replicas over TCP, with length-prefixed protobuf messages.
 *
 * <p>{@link org.waxwingbeam.control.net.ControlClient} connects to the leader's {@link
 * org.waxwingbeam.control.net.EntryStreamServer} for configurations, entry views, leases and
 * claims. {@link org.waxwingbeam.control.net.FeedClient} connects to the {@link
 * org.waxwingbeam.control.net.FeedServer} of every replica for the routing state and target
 * records.
 */
package org.waxwingbeam.control.net;
