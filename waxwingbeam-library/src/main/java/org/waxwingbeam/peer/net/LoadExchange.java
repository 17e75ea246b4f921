package org.waxwingbeam.peer.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.LoadBatch;
import org.waxwingbeam.wire.feed.TargetLoad;

/**
 * Exchanges load reports of targets between entry instances as datagrams. Lost datagrams are not
 * sent again: the next report supersedes them.
 *
 * <p>{@link #setPeers} and {@link #send} must be called on its event loop.
 *
 * <pre>{@code
 * LoadExchange loads = LoadExchange.start(group, endpoint, this::onReports);
 * loads.setPeers(List.of("10.0.0.4:7200"));
 * loads.send(load);
 * }</pre>
 *
 * @since 0.1.0
 */
// A datagram that cannot be sent is treated as lost.
@SuppressWarnings("FutureReturnValueIgnored")
public final class LoadExchange implements AutoCloseable {
  private static final EventLog LOG = new EventLog(LoadExchange.class);

  /** Time for which reports are collected into one datagram. */
  private static final long BATCH_MS = 2;

  /** Maximum number of reports in one datagram, so that it fits the MTU of an ordinary network. */
  private static final int MAX_BATCH_REPORTS = 30;

  private final Channel channel;
  private List<InetSocketAddress> peers = List.of();
  private LoadBatch.Builder batch = LoadBatch.newBuilder();

  private LoadExchange(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds the endpoint and starts to receive reports.
   *
   * @param group the event loop group, with one event loop
   * @param endpoint address on which datagrams are received
   * @param receiver called with the reports of other entry instances
   */
  public static LoadExchange start(
      EventLoopGroup group, Endpoint endpoint, Consumer<LoadBatch> receiver) {
    Channel channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new Handler(receiver))
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
    return new LoadExchange(channel);
  }

  /** Sets the addresses, as host:port, of the entry instances to which reports are sent. */
  public void setPeers(List<String> addresses) {
    peers = addresses.stream().map(LoadExchange::parseAddress).flatMap(Optional::stream).toList();
  }

  private static Optional<InetSocketAddress> parseAddress(String text) {
    Optional<Endpoint> parsed = Endpoint.parse(text);
    if (parsed.isEmpty()) {
      LOG.warn("peer-address-malformed", "address", text);
    }
    return parsed.map(Endpoint::socketAddress);
  }

  /**
   * Sends a report to the peers with the current batch, at most {@link #BATCH_MS} later; drops it
   * if the batch is full.
   */
  public void send(TargetLoad load) {
    if (peers.isEmpty() || batch.getLoadsCount() >= MAX_BATCH_REPORTS) {
      return;
    }
    if (batch.getLoadsCount() == 0) {
      channel.eventLoop().schedule(this::flush, BATCH_MS, TimeUnit.MILLISECONDS);
    }
    batch.addLoads(load);
  }

  private void flush() {
    byte[] bytes = batch.build().toByteArray();
    batch = LoadBatch.newBuilder();
    peers.forEach(each -> channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), each)));
    channel.flush();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private static final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final Consumer<LoadBatch> receiver;

    Handler(Consumer<LoadBatch> receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        receiver.accept(LoadBatch.parseFrom(new ByteBufInputStream(packet.content())));
      } catch (IOException | IllegalArgumentException malformed) {
        LOG.debug("loads-malformed", "from", packet.sender(), "reason", malformed.getMessage());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug("loads-not-exchanged", "reason", cause);
    }
  }
}
