package org.waxwingbeam.control.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;

/**
 * Writes to and closes channels without waiting for the result.
 *
 * @since 0.1.0
 */
public final class Channels {
  private static final ChannelFutureListener IGNORE_RESULT = done -> {};

  private Channels() {}

  /** Sends a message, and closes the channel if that fails. */
  public static void send(Channel channel, Object message) {
    channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Closes a channel. */
  public static void close(Channel channel) {
    channel.close().addListener(IGNORE_RESULT);
  }
}
