package org.waxwingbeam.target.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.waxwingbeam.control.net.TcpKeepalive;
import org.waxwingbeam.model.TargetId;

/**
 * Pools of connections to all targets, with a limit per target.
 *
 * <pre>{@code
 * connections.acquire(
 *     target, requestId, limit, loop, found -> found.ifPresentOrElse(this::send, this::fail));
 * }</pre>
 *
 * @since 0.1.0
 */
// A failed write or close is handled in channelInactive.
@SuppressWarnings("FutureReturnValueIgnored")
public final class TargetConnections {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final TargetAdapter adapter;
  private final int connectTimeoutMs;

  private final ConcurrentHashMap<TargetId, TargetPool> pools = new ConcurrentHashMap<>();

  /** Creates empty pools for targets that use the system's own protocol. */
  public TargetConnections() {
    this(new NativeTargetAdapter(), CONNECT_TIMEOUT_MS);
  }

  /**
   * Creates empty pools.
   *
   * @param adapter adapter for the protocol of the targets
   * @param connectTimeoutMs connect timeout in milliseconds
   */
  public TargetConnections(TargetAdapter adapter, int connectTimeoutMs) {
    this.adapter = adapter;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Takes an idle connection or opens a new one. At the limit, waits until one becomes free.
   *
   * @param target the target
   * @param requestId the id of the request to send, empty for a status check; a connection on which
   *     the target has refused this request is not taken
   * @param limit maximum number of connections of this process to the target, at least 1
   * @param loop the event loop on which the connection is to run
   * @param receiver called once on the event loop with the connection, or with empty if none could
   *     be opened
   */
  public void acquire(
      TargetId target,
      Optional<String> requestId,
      int limit,
      EventLoop loop,
      Consumer<Optional<TargetConnection>> receiver) {
    pools
        .computeIfAbsent(target, key -> new TargetPool(key, this::open))
        .acquire(requestId, limit, loop, receiver);
  }

  /**
   * Checks whether a target that has lost a connection lives on: whether an idle connection to it
   * is still open, or it accepts a new one, which replaces the lost one in the pool. If no more may
   * be opened, it lives on once it completes an exchange on an open one.
   *
   * @param target the target
   * @param limit maximum number of connections of this process to the target, at least 1
   * @param loop the event loop of the lost connection
   * @param receiver called once on the event loop with whether the target lives on
   */
  public void checkAlive(TargetId target, int limit, EventLoop loop, Consumer<Boolean> receiver) {
    pools
        .computeIfAbsent(target, key -> new TargetPool(key, this::open))
        .checkAlive(limit, loop, receiver);
  }

  /** Returns an unused connection to its pool. Called on its event loop. */
  public void release(TargetConnection connection) {
    pools.get(connection.target()).release(connection);
  }

  /** Returns the number of open connections to a target. */
  public int openConnections(TargetId target) {
    TargetPool pool = pools.get(target);
    return pool == null ? 0 : pool.openConnections();
  }

  private void open(
      TargetPool pool, EventLoop loop, Consumer<Optional<TargetConnection>> receiver) {
    ResponseDecoder decoder = new ResponseDecoder();
    TargetConnection connection = new TargetConnection(pool.target(), pool, decoder, adapter);
    ChannelFuture opening =
        TcpKeepalive.enable(new Bootstrap())
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(new Pipeline(decoder, connection))
            .connect(new InetSocketAddress(pool.target().host(), pool.target().port()));
    opening.addListener(
        future -> {
          if (future.isSuccess()) {
            receiver.accept(Optional.of(connection));
          } else {
            pool.releasePermit();
            receiver.accept(Optional.empty());
          }
        });
  }

  private static final class Pipeline extends ChannelInitializer<Channel> {
    private final ResponseDecoder decoder;
    private final TargetConnection connection;

    Pipeline(ResponseDecoder decoder, TargetConnection connection) {
      this.decoder = decoder;
      this.connection = connection;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
    }
  }
}
