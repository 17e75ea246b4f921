package org.waxwingbeam.control.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.Consumer;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.logging.EventLog;

/**
 * Sends and receives the pulses of one connection, and closes it when it is dead. Unless its owner
 * has pulses of its own, a pulse is a frame without a message. {@link
 * MessageFraming#addTo(io.netty.channel.ChannelPipeline, com.google.protobuf.MessageLite,
 * LinkMonitor)} adds a monitor to a pipeline.
 *
 * <p>Its owner calls {@link #tick} periodically, on the event loop of the connection.
 *
 * @since 0.1.0
 */
public final class LinkMonitor extends ChannelInboundHandlerAdapter {
  private static final EventLog LOG = new EventLog(LinkMonitor.class);

  private final LinkLiveness liveness;
  private final Consumer<Channel> pulseSender;

  /**
   * Creates the monitor of a new connection.
   *
   * @param liveness decides what is due on the connection
   */
  public LinkMonitor(LinkLiveness liveness) {
    this(liveness, channel -> Channels.send(channel, Unpooled.EMPTY_BUFFER));
  }

  /**
   * Creates the monitor of a new connection whose owner has pulses of its own.
   *
   * @param liveness decides what is due on the connection
   * @param pulseSender sends a pulse
   */
  public LinkMonitor(LinkLiveness liveness, Consumer<Channel> pulseSender) {
    this.liveness = liveness;
    this.pulseSender = pulseSender;
  }

  /** Calls {@link #tick(Channel, long)} for a connection, if it has a monitor. */
  public static void tickIfMonitored(Channel channel, long nowNanos) {
    LinkMonitor monitor = channel.pipeline().get(LinkMonitor.class);
    if (monitor != null) {
      monitor.tick(channel, nowNanos);
    }
  }

  private void tick(Channel channel, long nowNanos) {
    switch (liveness.tick(nowNanos)) {
      case SEND_PULSE -> pulseSender.accept(channel);
      case CLOSE -> {
        LOG.warn(
            "link-silent",
            "local",
            channel.localAddress(),
            "remote",
            channel.remoteAddress(),
            "silent_ms",
            liveness.silentMs());
        Channels.close(channel);
      }
      default -> {}
    }
  }

  /** Returns for how long nothing was received, in milliseconds. */
  public long silentMs() {
    return liveness.silentMs();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    liveness.recordReceived();
    context.fireChannelRead(message);
  }

  /** Drops the pulses of the other end. */
  static final class PulseFilter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof ByteBuf frame && !frame.isReadable()) {
        frame.release();
      } else {
        context.fireChannelRead(message);
      }
    }
  }
}
