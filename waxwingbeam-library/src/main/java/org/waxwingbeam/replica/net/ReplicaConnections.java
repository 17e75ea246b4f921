package org.waxwingbeam.replica.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.control.net.Channels;
import org.waxwingbeam.control.net.LinkMonitor;
import org.waxwingbeam.control.net.MessageFraming;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.replica.KnownReplicas;
import org.waxwingbeam.replica.ReplicaLinks;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.replica.ReplicaFrame;
import org.waxwingbeam.wire.replica.ReplicaHello;
import org.waxwingbeam.wire.replica.ReplicaMember;
import org.waxwingbeam.wire.replica.ReplicaMessage;

/**
 * Exchanges messages with the other control replicas. Each replica sends on the connections that it
 * has opened, and receives on all connections. Connections on which nothing arrives any more are
 * closed and opened again.
 *
 * @since 0.1.0
 */
public final class ReplicaConnections implements ReplicaLinks, AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Minimum time between two log lines on failures of connections. */
  private static final long FAILURE_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final EventLog LOG = new EventLog(ReplicaConnections.class);

  private final EventLoopGroup group;
  private final String token;
  private final LinkLiveness.Timings linkTimings;
  private final Supplier<ReplicaHello> ownHello;
  private final Consumer<ReplicaHello> helloReceiver;
  private final Consumer<ReplicaMessage> messageReceiver;
  private final Channel serverChannel;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<String, OutboundConnection> outboundByAddress = new TreeMap<>();
  private final Map<String, Channel> channelById = new HashMap<>();
  private final Map<Channel, String> idByChannel = new HashMap<>();
  private long nextFailureLogNanos = System.nanoTime();
  private long failuresLeftOut;
  private long linksLost;
  private long messagesFailed;
  private Optional<HandlerFailure> lastFailure = Optional.empty();

  private record HandlerFailure(String type, long atNanos) {}

  /** A connection opened by this replica; it has no channel until it is established. */
  private record OutboundConnection(Optional<Channel> channel) {}

  /**
   * Starts listening for connections of other replicas.
   *
   * @param group has a single event loop, on which the receivers are called as well
   * @param address the address to listen on
   * @param token the credential of the system's own processes
   * @param linkTimings when a silent connection is replaced
   * @param ownHello supplies the hello of this replica, without the credential
   * @param helloReceiver called with each hello of another replica
   * @param messageReceiver called with each message of another replica
   */
  public ReplicaConnections(
      EventLoopGroup group,
      Endpoint address,
      String token,
      LinkLiveness.Timings linkTimings,
      Supplier<ReplicaHello> ownHello,
      Consumer<ReplicaHello> helloReceiver,
      Consumer<ReplicaMessage> messageReceiver) {
    this.group = group;
    this.token = token;
    this.linkTimings = linkTimings;
    this.ownHello = ownHello;
    this.helloReceiver = helloReceiver;
    this.messageReceiver = messageReceiver;
    serverChannel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(new Initializer(LinkLiveness.Side.ACCEPTOR))
            .bind(address.socketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the port on which this replica listens. */
  public int port() {
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  /**
   * Connects to the given addresses that have no connection yet, and closes connections to any
   * others.
   */
  public void connectTo(Set<Endpoint> addresses) {
    addresses.stream()
        .filter(each -> !outboundByAddress.containsKey(each.toString()))
        .forEach(this::connect);
    Set<String> wanted = addresses.stream().map(Endpoint::toString).collect(Collectors.toSet());
    // Closing a channel removes its connection from the map.
    List.copyOf(outboundByAddress.entrySet()).stream()
        .filter(each -> !wanted.contains(each.getKey()))
        .forEach(each -> each.getValue().channel().ifPresent(Channels::close));
  }

  /** Sends due pulses, and closes the connections on which nothing arrives any more. */
  public void tick(long nowNanos) {
    connections.stream()
        .filter(Channel::isActive)
        .forEach(each -> LinkMonitor.tickIfMonitored(each, nowNanos));
  }

  private void connect(Endpoint address) {
    outboundByAddress.put(address.toString(), new OutboundConnection(Optional.empty()));
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new Initializer(LinkLiveness.Side.OPENER))
        .connect(address.socketAddress())
        .addListener((ChannelFuture done) -> onConnected(address, done));
  }

  private void onConnected(Endpoint address, ChannelFuture done) {
    if (!done.isSuccess()) {
      outboundByAddress.remove(address.toString());
      return;
    }
    Channel channel = done.channel();
    outboundByAddress.put(address.toString(), new OutboundConnection(Optional.of(channel)));
    channel.closeFuture().addListener(gone -> removeConnection(address, channel));
    sendHello(channel);
  }

  private void removeConnection(Endpoint address, Channel channel) {
    outboundByAddress.remove(address.toString());
    List<String> ids =
        channelById.entrySet().stream()
            .filter(each -> each.getValue().equals(channel))
            .map(Map.Entry::getKey)
            .toList();
    channelById.keySet().removeAll(ids);
    ids.forEach(this::useOtherConnection);
    linksLost++;
    LOG.info("replica-link-lost", "at", address);
  }

  /** Sends to a replica on another connection, if one is open at another of its addresses. */
  private void useOtherConnection(String id) {
    outboundByAddress.values().stream()
        .flatMap(each -> each.channel().stream())
        .filter(each -> id.equals(idByChannel.get(each)))
        .findFirst()
        .ifPresent(each -> channelById.put(id, each));
  }

  private void sendHello(Channel channel) {
    ReplicaHello hello = ownHello.get().toBuilder().setToken(token).build();
    Channels.send(channel, ReplicaFrame.newBuilder().setHello(hello).build());
  }

  /** Sends this replica's hello again to every replica to which a connection is open. */
  public void announce() {
    // A failed write closes its channel at once, which removes its connection from the map.
    List.copyOf(outboundByAddress.values())
        .forEach(each -> each.channel().ifPresent(this::sendHello));
  }

  /**
   * Sends a message; drops it if its receiver is not connected or its connection's send buffer is
   * full.
   */
  public void send(ReplicaMessage message) {
    Channel channel = channelById.get(message.getTo());
    if (channel != null && channel.isWritable()) {
      Channels.send(channel, ReplicaFrame.newBuilder().setMessage(message).build());
    }
  }

  /** Returns whether there is a connection with a replica, whichever of the two has opened it. */
  public boolean isLinked(String id) {
    return idByChannel.containsValue(id);
  }

  @Override
  public Link link(ReplicaMember member) {
    boolean inbound =
        idByChannel.entrySet().stream()
            .anyMatch(each -> each.getValue().equals(member.getId()) && !isOutbound(each.getKey()));
    Optional<OutboundConnection> connection =
        Optional.ofNullable(outboundByAddress.get(KnownReplicas.address(member).toString()));
    Optional<Channel> channel =
        Optional.ofNullable(channelById.get(member.getId()))
            .or(() -> connection.flatMap(OutboundConnection::channel));
    Optional<Long> silentMs =
        channel.map(each -> each.pipeline().get(LinkMonitor.class)).map(LinkMonitor::silentMs);
    return new Link(outbound(member, connection, channel), inbound, silentMs);
  }

  private Outbound outbound(
      ReplicaMember member, Optional<OutboundConnection> connection, Optional<Channel> channel) {
    if (channel.isEmpty()) {
      return connection.isPresent() ? Outbound.CONNECTING : Outbound.NONE;
    }
    return channel
        .map(idByChannel::get)
        .map(id -> id.equals(member.getId()) ? Outbound.GREETED : Outbound.OTHER_REPLICA)
        .orElse(Outbound.OPEN);
  }

  @Override
  public Failures failures(long nowNanos) {
    return new Failures(
        linksLost,
        messagesFailed,
        lastFailure.map(
            each ->
                new Failure(
                    each.type(), TimeUnit.NANOSECONDS.toMillis(nowNanos - each.atNanos()))));
  }

  private boolean isOutbound(Channel channel) {
    return outboundByAddress.values().stream()
        .anyMatch(each -> each.channel().equals(Optional.of(channel)));
  }

  @Override
  public void close() {
    serverChannel.close().syncUninterruptibly();
    connections.close().syncUninterruptibly();
  }

  /** Logs one failure a second: a message that fails again and again comes with each connection. */
  private void logFailure(long nowNanos, Channel channel, Throwable cause) {
    if (nowNanos - nextFailureLogNanos < 0) {
      failuresLeftOut++;
      return;
    }
    LOG.warn(
        "replica-link-failed",
        "remote",
        channel.remoteAddress(),
        "reason",
        cause,
        "left_out",
        failuresLeftOut);
    nextFailureLogNanos = nowNanos + FAILURE_LOG_INTERVAL_NANOS;
    failuresLeftOut = 0;
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    private final LinkLiveness.Side side;

    Initializer(LinkLiveness.Side side) {
      this.side = side;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      MessageFraming.addTo(
          channel.pipeline(),
          ReplicaFrame.getDefaultInstance(),
          new LinkMonitor(new LinkLiveness(side, linkTimings, System.nanoTime())));
      channel.pipeline().addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<ReplicaFrame> {
    private boolean authenticated;

    @Override
    protected void channelRead0(ChannelHandlerContext context, ReplicaFrame frame) {
      if (frame.hasHello()) {
        receiveHello(context.channel(), frame.getHello());
      } else if (authenticated) {
        messageReceiver.accept(frame.getMessage());
      } else {
        Channels.close(context.channel());
      }
    }

    private void receiveHello(Channel channel, ReplicaHello hello) {
      byte[] expected = token.getBytes(StandardCharsets.UTF_8);
      if (!MessageDigest.isEqual(expected, hello.getToken().getBytes(StandardCharsets.UTF_8))) {
        Channels.close(channel);
        return;
      }
      boolean first = !authenticated;
      authenticated = true;
      idByChannel.put(channel, hello.getMember().getId());
      if (isOutbound(channel)) {
        boolean alreadyRegistered =
            channel.equals(channelById.put(hello.getMember().getId(), channel));
        if (!alreadyRegistered) {
          LOG.info(
              "replica-linked",
              "replica",
              hello.getMember().getId(),
              "at",
              channel.remoteAddress());
        }
      } else if (first || hello.getFresh()) {
        // A replica that has not joined yet looks for members that may lead by now.
        sendHello(channel);
      }
      helloReceiver.accept(hello.toBuilder().clearToken().build());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      idByChannel.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      long now = System.nanoTime();
      if (!(cause instanceof IOException)) {
        messagesFailed++;
        lastFailure = Optional.of(new HandlerFailure(cause.getClass().getSimpleName(), now));
      }
      logFailure(now, context.channel(), cause);
      Channels.close(context.channel());
    }
  }
}
