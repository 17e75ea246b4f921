package org.waxwingbeam.control.net;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * Adds the framing of protobuf messages to a pipeline: each message is preceded by its length in
 * four bytes.
 *
 * @since 0.1.0
 */
public final class MessageFraming {
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_MESSAGE_BYTES = 64 << 20;

  private MessageFraming() {}

  /**
   * Adds the handlers.
   *
   * @param pipeline the pipeline of a new connection
   * @param received the default instance of the messages that the connection receives
   */
  public static void addTo(ChannelPipeline pipeline, MessageLite received) {
    pipeline.addLast(newFrameDecoder());
    addCodecs(pipeline, received);
  }

  /**
   * Adds the handlers, with a monitor that finds out whether the connection still works.
   *
   * @param pipeline the pipeline of a new connection
   * @param received the default instance of the messages that the connection receives
   * @param monitor the monitor of the connection
   */
  public static void addTo(ChannelPipeline pipeline, MessageLite received, LinkMonitor monitor) {
    // The monitor sees the bytes before they complete a message.
    pipeline.addLast(monitor, newFrameDecoder(), new LinkMonitor.PulseFilter());
    addCodecs(pipeline, received);
  }

  private static LengthFieldBasedFrameDecoder newFrameDecoder() {
    return new LengthFieldBasedFrameDecoder(MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }

  private static void addCodecs(ChannelPipeline pipeline, MessageLite received) {
    pipeline
        .addLast(new ProtobufDecoder(received))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new ProtobufEncoder());
  }
}
