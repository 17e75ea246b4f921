package org.waxwingbeam.caller.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.settings.EntrySettings;

/**
 * The HTTP/1.1 server for callers.
 *
 * <pre>{@code
 * try (CallerServer server = new CallerServer(group, endpoint, limits, context)) {
 *   server.awaitClose();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
// Failed writes and closes are handled in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
public final class CallerServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  /** Socket reads of one connection before others get their turn. */
  private static final int MAX_READS = 16;

  private final ExchangeContext context;
  private final Supplier<EntrySettings.CallerLimits> limits;
  private volatile boolean closesAfterResponse;
  private final Map<EventLoop, ActiveExchanges> exchanges = new ConcurrentHashMap<>();
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
  private final Channel listener;

  /**
   * Binds the server socket and starts to accept connections.
   *
   * @param group the event loops that serve callers and targets
   * @param endpoint the address and port to listen on
   * @param limits returns the current limits on requests and connections of callers
   * @param context the services that exchanges use
   */
  public CallerServer(
      EventLoopGroup group,
      Endpoint endpoint,
      Supplier<EntrySettings.CallerLimits> limits,
      ExchangeContext context) {
    this.context = context;
    this.limits = limits;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
            .childHandler(new PipelineInitializer())
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Returns an allocator with which a read ends only once nothing is left, so that the end of a
   * connection is noticed together with the request before it.
   */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS);
  }

  /** Returns the address on which the server listens. */
  public Endpoint endpoint() {
    InetSocketAddress address = (InetSocketAddress) listener.localAddress();
    return new Endpoint(address.getAddress().getHostAddress(), address.getPort());
  }

  private ActiveExchanges exchangesOf(EventLoop loop) {
    return exchanges.computeIfAbsent(loop, each -> new ActiveExchanges(each, context.clock()));
  }

  /** Returns the route policies of the active requests, one for each request. */
  public List<RoutePolicy> activePolicies() {
    return exchanges.values().stream().flatMap(each -> each.policies().stream()).toList();
  }

  /** Returns the number of active requests. */
  public int activeExchanges() {
    return exchanges.values().stream().mapToInt(ActiveExchanges::size).sum();
  }

  /** Returns whether no request is active and none has arrived in part. */
  public boolean isIdle() {
    return activeExchanges() == 0
        && connections.stream().noneMatch(CallerConnection::isReceivingHead);
  }

  /**
   * Closes idle connections now and the others after their current request. Requests that still
   * arrive are admitted or refused according to {@link ExchangeContext#admission}.
   */
  public void drain() {
    connections.forEach(each -> each.loop().execute(each::drain));
  }

  /** Adds {@code Connection: close} to every response from now on. Requests are still served. */
  public void announceClose() {
    closesAfterResponse = true;
  }

  /** Stops accepting connections. Open connections are still served. */
  public void stopListening() {
    listener.close().syncUninterruptibly();
  }

  /** Stops listening and closes every connection, including those with active requests. */
  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    connections.forEach(CallerConnection::close);
  }

  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      RequestDecoder decoder = new RequestDecoder(limits.get().headerBytes(), context.clock());
      ResponseEncoder encoder = new ResponseEncoder();
      ActiveExchanges loopExchanges = exchangesOf(channel.eventLoop());
      CallerConnection connection =
          new CallerConnection(
              context, limits, () -> closesAfterResponse, loopExchanges, decoder, encoder);
      connections.add(connection);
      channel.closeFuture().addListener(closed -> connections.remove(connection));
      channel.pipeline().addLast(decoder, encoder, connection);
    }
  }
}
