package org.waxwingbeam.control.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.ControlPulse;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.EntryPulse;
import org.waxwingbeam.wire.feed.TargetRecord;

/**
 * Keeps an entry instance connected to every known control replica; the replicas report the
 * addresses of further ones.
 *
 * <p>All methods but the constructor are called on its event loop.
 *
 * <pre>{@code
 * FeedClient client = new FeedClient(loop, greeting, seeds, timings, listener);
 * client.tick(System.nanoTime());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class FeedClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /**
   * Time for which the highest reported number of entry instances is used before a lower one
   * replaces it.
   */
  private static final long FLEET_SIZE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Highest number of addresses that are tried, which limits the attempts to connect to wrong ones.
   */
  private static final int MAX_ADDRESSES = 64;

  private static final EventLog LOG = new EventLog(FeedClient.class);

  private final EventLoop loop;
  private final EntryGreeting greeting;
  private final LinkLiveness.Timings linkTimings;
  private final Listener listener;
  private final Map<String, ReplicaConnection> connections = new TreeMap<>();
  private int fleetSize;
  private long fleetSizeNanos;

  /** Receives the frames of control replicas and changes of their connections. */
  public interface Listener {
    /**
     * Handles a frame other than a pulse.
     *
     * @param replica the address of the replica that sent it
     * @param frame the frame
     */
    void receive(Endpoint replica, ControlFrame frame);

    /** Returns the revision of the applied routing state, or 0 if none is applied. */
    long appliedRevision();

    /** Called when the number of connected replicas has changed. */
    void onConnectedCountChanged(int replicas);

    /** Called when the connection to a replica has ended. */
    void onDisconnected(Endpoint replica);
  }

  /**
   * Creates a client without connections; {@link #tick} opens them.
   *
   * @param loop the event loop that runs this client
   * @param greeting identifies this entry instance
   * @param seeds the initial addresses of control replicas
   * @param linkTimings when pulses are sent and a silent connection is replaced
   * @param listener receives the replicas' frames
   */
  public FeedClient(
      EventLoop loop,
      EntryGreeting greeting,
      List<Endpoint> seeds,
      LinkLiveness.Timings linkTimings,
      Listener listener) {
    this.loop = loop;
    this.greeting = greeting;
    this.linkTimings = linkTimings;
    this.listener = listener;
    seeds.forEach(each -> connections.put(each.toString(), new ReplicaConnection(each)));
  }

  /** Adds addresses of control replicas from the settings. */
  public void addSeeds(List<Endpoint> seeds) {
    seeds.forEach(
        each -> connections.computeIfAbsent(each.toString(), key -> new ReplicaConnection(each)));
  }

  /** Returns the number of entry instances, or empty until a replica has reported it. */
  public Optional<Integer> fleetSize() {
    return fleetSize > 0 ? Optional.of(fleetSize) : Optional.empty();
  }

  /** Returns the number of connected replicas. */
  public int connectedReplicaCount() {
    return (int) connections.values().stream().filter(each -> each.channel != null).count();
  }

  /** Sends a frame to every connected replica. */
  public void sendToAll(EntryFrame frame) {
    connections.values().forEach(each -> each.send(frame));
  }

  /**
   * Opens due connections, sends due pulses, and disconnects replicas that have been silent too
   * long.
   */
  public void tick(long nowNanos) {
    List.copyOf(connections.values()).forEach(each -> each.tick(nowNanos));
  }

  private void recordPulse(long nowNanos, ControlPulse pulse) {
    if (pulse.getEntries() >= fleetSize || nowNanos - fleetSizeNanos > FLEET_SIZE_RETENTION_NANOS) {
      fleetSize = pulse.getEntries();
      fleetSizeNanos = nowNanos;
    }
    pulse.getReplicasList().stream()
        .filter(each -> !connections.containsKey(each) && connections.size() < MAX_ADDRESSES)
        .map(FeedClient::endpoint)
        .flatMap(Optional::stream)
        .forEach(each -> connections.put(each.toString(), new ReplicaConnection(each)));
  }

  private static Optional<Endpoint> endpoint(String text) {
    Optional<Endpoint> parsed = Endpoint.parse(text);
    if (parsed.isEmpty()) {
      LOG.warn("replica-address-malformed", "address", text);
    }
    return parsed;
  }

  @Override
  public void close() {
    connections
        .values()
        .forEach(each -> Optional.ofNullable(each.channel).ifPresent(Channels::close));
  }

  /** The connection to one control replica. */
  private final class ReplicaConnection {
    private final Endpoint address;
    private Channel channel;
    private boolean connecting;
    private long retryNanos = FIRST_RETRY_NANOS;
    private long nextConnectNanos;
    private boolean attempted;
    private long appliedSequence;
    private long receivedRevision;

    ReplicaConnection(Endpoint address) {
      this.address = address;
    }

    void tick(long nowNanos) {
      if (channel == null) {
        if (!connecting && (!attempted || nowNanos - nextConnectNanos >= 0)) {
          connect();
        }
      } else {
        LinkMonitor.tickIfMonitored(channel, nowNanos);
      }
    }

    void send(EntryFrame frame) {
      if (channel != null && channel.isWritable()) {
        Channels.send(channel, frame);
      }
    }

    private void sendPulse() {
      send(
          EntryFrame.newBuilder()
              .setPulse(
                  EntryPulse.newBuilder()
                      .setAppliedSequence(appliedSequence)
                      .setAppliedRevision(listener.appliedRevision())
                      .setReceivedRevision(receivedRevision))
              .build());
    }

    private void connect() {
      connecting = true;
      attempted = true;
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(new Initializer(this))
          .connect(address.socketAddress())
          .addListener((ChannelFuture done) -> onConnected(done));
    }

    private void onConnected(ChannelFuture done) {
      connecting = false;
      if (!done.isSuccess()) {
        nextConnectNanos = System.nanoTime() + retryNanos;
        retryNanos = Math.min(MAX_RETRY_NANOS, retryNanos * 2);
        return;
      }
      channel = done.channel();
      channel.closeFuture().addListener(gone -> onDisconnected());
      appliedSequence = 0;
      receivedRevision = 0;
      EntryGreeting.Builder current =
          greeting.toBuilder()
              .setConfirmsRouting(true)
              .setAppliedRevision(listener.appliedRevision());
      send(EntryFrame.newBuilder().setGreeting(current).build());
      LOG.info(
          "replica-connected",
          "replica",
          address,
          "connected",
          FeedClient.this.connectedReplicaCount());
      listener.onConnectedCountChanged(FeedClient.this.connectedReplicaCount());
    }

    private void onDisconnected() {
      channel = null;
      nextConnectNanos = System.nanoTime() + retryNanos;
      retryNanos = Math.min(MAX_RETRY_NANOS, retryNanos * 2);
      LOG.warn(
          "replica-lost", "replica", address, "connected", FeedClient.this.connectedReplicaCount());
      listener.onConnectedCountChanged(FeedClient.this.connectedReplicaCount());
      listener.onDisconnected(address);
    }

    private void receive(ControlFrame frame) {
      retryNanos = FIRST_RETRY_NANOS;
      if (!frame.hasPulse()) {
        deliver(this, frame);
        return;
      }
      recordPulse(System.nanoTime(), frame.getPulse());
      if (frame.getPulse().getSequence() > appliedSequence) {
        appliedSequence = frame.getPulse().getSequence();
        sendPulse();
      }
    }
  }

  /** Passes a frame to the listener, and confirms a routing state. */
  private void deliver(ReplicaConnection from, ControlFrame frame) {
    long before = listener.appliedRevision();
    try {
      listener.receive(from.address, frame);
    } catch (RuntimeException failure) {
      LOG.error(
          "frame-failed", "replica", from.address, "kind", frame.getKindCase(), "reason", failure);
      if (isLeaveReport(frame)) {
        // Must not be confirmed: without the connection, the replica does not wait for it.
        throw failure;
      }
      // Otherwise the connection stays open: later frames do not depend on this one.
    }
    if (frame.hasRouting()) {
      from.receivedRevision = Math.max(from.receivedRevision, frame.getRouting().getRevision());
      // Replicas that know of it do not send the same state.
      boolean isNew = listener.appliedRevision() > before;
      connections.values().stream()
          .filter(each -> isNew || each == from)
          .forEach(ReplicaConnection::sendPulse);
    }
  }

  private static boolean isLeaveReport(ControlFrame frame) {
    return frame.hasTarget() && frame.getTarget().getState() != TargetRecord.State.READY;
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    private final ReplicaConnection connection;

    Initializer(ReplicaConnection connection) {
      this.connection = connection;
    }

    @Override
    protected void initChannel(SocketChannel opened) {
      LinkLiveness liveness =
          new LinkLiveness(LinkLiveness.Side.OPENER, linkTimings, System.nanoTime());
      MessageFraming.addTo(
          opened.pipeline(),
          ControlFrame.getDefaultInstance(),
          new LinkMonitor(liveness, channel -> connection.sendPulse()));
      opened.pipeline().addLast(new Handler(connection));
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<ControlFrame> {
    private final ReplicaConnection connection;

    Handler(ReplicaConnection connection) {
      this.connection = connection;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ControlFrame frame) {
      connection.receive(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warn("replica-connection-failed", "replica", connection.address, "reason", cause);
      Channels.close(context.channel());
    }
  }
}
