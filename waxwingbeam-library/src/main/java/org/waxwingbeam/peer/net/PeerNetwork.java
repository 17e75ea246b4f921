package org.waxwingbeam.peer.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.waxwingbeam.concurrent.RepeatingTask;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.Channels;
import org.waxwingbeam.control.net.LinkMonitor;
import org.waxwingbeam.control.net.MessageFraming;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.peer.PeerTopology;
import org.waxwingbeam.peer.RecordCodec;
import org.waxwingbeam.peer.SoftRecord;
import org.waxwingbeam.peer.SoftStateStore;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.peer.PeerMessage;

/**
 * Shares soft state with other entry instances over the connections that {@link PeerTopology}
 * determines. Both ends of a new connection send all their records. After that only new records are
 * sent, and a received one is forwarded to every connection but the one on which it arrived.
 * Connections on which nothing arrives any more are closed and opened again.
 *
 * <pre>{@code
 * PeerNetwork peers = new PeerNetwork(group, identity, listen, timings, view, listener);
 * peers.publish(record);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class PeerNetwork implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final long RECONCILE_INTERVAL_MS = 250;

  private final EventLoopGroup group;
  private final Identity identity;
  private final LinkLiveness.Timings linkTimings;
  private final Supplier<EntryView> view;
  private final Consumer<SoftRecord> listener;
  private final SoftStateStore state = new SoftStateStore();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final ChannelGroup authenticated = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<InstanceName, Channel> outgoing = new ConcurrentHashMap<>();
  private final Channel server;
  private final Future<?> reconciling;

  /**
   * Starts listening and connecting.
   *
   * @param group event loops that run the connections
   * @param identity identity of this entry instance
   * @param listen address to listen on; port 0 selects a free port
   * @param linkTimings when a silent connection is replaced
   * @param view supplies the live entry instances
   * @param listener called, on any thread, with every new record from another entry instance
   * @throws InterruptedException if the thread is interrupted before the port is bound
   */
  public PeerNetwork(
      EventLoopGroup group,
      Identity identity,
      Endpoint listen,
      LinkLiveness.Timings linkTimings,
      Supplier<EntryView> view,
      Consumer<SoftRecord> listener)
      throws InterruptedException {
    this.group = group;
    this.identity = identity;
    this.linkTimings = linkTimings;
    this.view = view;
    this.listener = listener;
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(initializer(LinkLiveness.Side.ACCEPTOR))
            .bind(listen.socketAddress())
            .sync()
            .channel();
    this.reconciling =
        group
            .next()
            .scheduleWithFixedDelay(
                new RepeatingTask("peer-connections", this::reconcile),
                0,
                RECONCILE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
  }

  /** Returns the port that was bound. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Shares a record of this entry instance, if it is new. */
  public void publish(SoftRecord record) {
    // All connections receive the record: the listening channel is not one of them.
    forward(state.merge(System.nanoTime(), List.of(record)), server);
  }

  @Override
  public void close() {
    reconciling.cancel(false);
    connections.close().awaitUninterruptibly();
    server.close().awaitUninterruptibly();
  }

  void onAuthenticated(Channel connection) {
    authenticated.add(connection);
    List<SoftRecord> all = state.records(System.nanoTime());
    if (!all.isEmpty()) {
      Channels.send(connection, RecordCodec.toMessage(all));
    }
  }

  void onRecords(Channel from, List<SoftRecord> records) {
    List<SoftRecord> changed = state.merge(System.nanoTime(), records);
    changed.forEach(listener);
    forward(changed, from);
  }

  private void forward(List<SoftRecord> changed, Channel except) {
    if (!changed.isEmpty()) {
      PeerMessage message = RecordCodec.toMessage(changed);
      authenticated.stream()
          .filter(each -> each != except)
          .forEach(each -> Channels.send(each, message));
    }
  }

  private void reconcile() {
    tickConnections();
    Map<InstanceName, Endpoint> wanted = new ConcurrentHashMap<>();
    PeerTopology.peersToConnect(view.get(), identity.instance())
        .forEach(each -> wanted.put(each.name(), each.peers()));
    outgoing.forEach(
        (name, connection) -> {
          if (!wanted.containsKey(name)) {
            Channels.close(connection);
          }
        });
    outgoing.values().removeIf(each -> !each.isOpen());
    wanted.keySet().removeAll(outgoing.keySet());
    wanted.forEach(this::connect);
  }

  /** Wakes each event loop up once, whatever the number of its connections. */
  private void tickConnections() {
    connections.stream()
        .filter(Channel::isActive)
        .collect(Collectors.groupingBy(Channel::eventLoop))
        .forEach((loop, own) -> loop.execute(() -> tick(own)));
  }

  private static void tick(List<Channel> own) {
    long now = System.nanoTime();
    own.forEach(each -> LinkMonitor.tickIfMonitored(each, now));
  }

  private void connect(InstanceName name, Endpoint endpoint) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(initializer(LinkLiveness.Side.OPENER))
            .connect(endpoint.socketAddress());
    outgoing.put(name, connecting.channel());
  }

  private ChannelInitializer<SocketChannel> initializer(LinkLiveness.Side side) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel connection) {
        connections.add(connection);
        MessageFraming.addTo(
            connection.pipeline(),
            PeerMessage.getDefaultInstance(),
            new LinkMonitor(new LinkLiveness(side, linkTimings, System.nanoTime())));
        connection.pipeline().addLast(new PeerConnection(PeerNetwork.this, identity));
      }
    };
  }

  /**
   * Identity of an entry instance.
   *
   * @param instance its name
   * @param token the credential shared by the system's own processes
   */
  public record Identity(InstanceName instance, String token) {}
}
