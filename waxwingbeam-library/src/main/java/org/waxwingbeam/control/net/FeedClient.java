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
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.ControlPulse;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.EntryPulse;

/**
 * Keeps a connection from an entry instance to every control replica that it knows of, and learns
 * of further ones from them.
 *
 * <p>All methods but the constructor are called on its event loop.
 *
 * <pre>{@code
 * FeedClient client = new FeedClient(loop, greeting, seeds, frame -> state.apply(frame));
 * client.tick(System.nanoTime());
 * }</pre>
 *
 * @since 0.1.0
 */
public final class FeedClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 400;

  /** Pause between two pulses; a replica is given up after four of them. */
  private static final long PULSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long SILENCE_NANOS = 4 * PULSE_NANOS;
  private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Time for which the greatest stated number of entry instances is believed. */
  private static final long FLEET_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Addresses that are tried at most, so that a wrong one cannot crowd out the others. */
  private static final int MAX_ADDRESSES = 64;

  private static final EventLog LOG = new EventLog(FeedClient.class);

  private final EventLoop loop;
  private final EntryGreeting greeting;
  private final Listener listener;
  private final Map<String, Link> links = new TreeMap<>();
  private int fleetSize;
  private long fleetSizeNanos;

  /** Takes what control replicas tell. */
  public interface Listener {
    /**
     * Takes a frame other than a pulse.
     *
     * @param replica the replica that sent it
     */
    void receive(Endpoint replica, ControlFrame frame);

    /** Called when the number of connected replicas has changed. */
    void onConnectedCountChanged(int replicas);

    /** Called when the connection to a replica has ended. */
    void onDisconnected(Endpoint replica);
  }

  /**
   * Creates a client without connections; {@link #tick} opens them.
   *
   * @param loop runs everything
   * @param greeting who this entry instance is
   * @param seeds the first addresses of control replicas
   * @param listener takes what they tell
   */
  public FeedClient(
      EventLoop loop, EntryGreeting greeting, List<Endpoint> seeds, Listener listener) {
    this.loop = loop;
    this.greeting = greeting;
    this.listener = listener;
    seeds.forEach(each -> links.put(each.toString(), new Link(each)));
  }

  /** Adds addresses of control replicas that the settings name. */
  public void addSeeds(List<Endpoint> seeds) {
    seeds.forEach(each -> links.computeIfAbsent(each.toString(), key -> new Link(each)));
  }

  /** Returns the number of entry instances, or empty until a replica has told it. */
  public Optional<Integer> fleetSize() {
    return fleetSize > 0 ? Optional.of(fleetSize) : Optional.empty();
  }

  /** Returns the number of replicas that are connected. */
  public int connectedReplicaCount() {
    return (int) links.values().stream().filter(each -> each.channel != null).count();
  }

  /** Sends a frame to every connected replica. */
  public void sendToAll(EntryFrame frame) {
    links.values().forEach(each -> each.send(frame));
  }

  /** Lets time pass: connects, sends pulses, and gives up replicas that have fallen silent. */
  public void tick(long nowNanos) {
    List.copyOf(links.values()).forEach(each -> each.tick(nowNanos));
  }

  private void notePulse(long nowNanos, ControlPulse pulse) {
    if (pulse.getEntries() >= fleetSize || nowNanos - fleetSizeNanos > FLEET_MEMORY_NANOS) {
      fleetSize = pulse.getEntries();
      fleetSizeNanos = nowNanos;
    }
    pulse.getReplicasList().stream()
        .filter(each -> !links.containsKey(each) && links.size() < MAX_ADDRESSES)
        .map(FeedClient::endpoint)
        .flatMap(Optional::stream)
        .forEach(each -> links.put(each.toString(), new Link(each)));
  }

  private static Optional<Endpoint> endpoint(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      LOG.warn("replica-address-malformed", "address", text);
      return Optional.empty();
    }
    return Optional.of(
        new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1))));
  }

  @Override
  public void close() {
    links.values().forEach(each -> Optional.ofNullable(each.channel).ifPresent(Channels::close));
  }

  /** The connection to one control replica. */
  private final class Link {
    private final Endpoint address;
    private Channel channel;
    private boolean connecting;
    private long retryNanos = FIRST_RETRY_NANOS;
    private long nextConnectNanos;
    private boolean tried;
    private long heardNanos;
    private long nextPulseNanos;
    private long applied;

    Link(Endpoint address) {
      this.address = address;
    }

    void tick(long nowNanos) {
      if (channel == null) {
        if (!connecting && (!tried || nowNanos - nextConnectNanos >= 0)) {
          connect();
        }
      } else if (nowNanos - heardNanos > SILENCE_NANOS) {
        LOG.warn("replica-silent", "replica", address);
        Channels.close(channel);
      } else if (nowNanos - nextPulseNanos >= 0) {
        pulse(nowNanos);
      }
    }

    void send(EntryFrame frame) {
      if (channel != null && channel.isWritable()) {
        Channels.send(channel, frame);
      }
    }

    private void pulse(long nowNanos) {
      nextPulseNanos = nowNanos + PULSE_NANOS;
      send(
          EntryFrame.newBuilder()
              .setPulse(EntryPulse.newBuilder().setAppliedSequence(applied))
              .build());
    }

    private void connect() {
      connecting = true;
      tried = true;
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
          .option(ChannelOption.TCP_NODELAY, true)
          .handler(new Initializer(this))
          .connect(address.socketAddress())
          .addListener((ChannelFuture done) -> connected(done));
    }

    private void connected(ChannelFuture done) {
      connecting = false;
      long now = System.nanoTime();
      if (!done.isSuccess()) {
        nextConnectNanos = now + retryNanos;
        retryNanos = Math.min(MAX_RETRY_NANOS, retryNanos * 2);
        return;
      }
      channel = done.channel();
      channel.closeFuture().addListener(gone -> lost());
      heardNanos = now;
      nextPulseNanos = now + PULSE_NANOS;
      applied = 0;
      send(EntryFrame.newBuilder().setGreeting(greeting).build());
      LOG.info(
          "replica-connected",
          "replica",
          address,
          "connected",
          FeedClient.this.connectedReplicaCount());
      listener.onConnectedCountChanged(FeedClient.this.connectedReplicaCount());
    }

    private void lost() {
      channel = null;
      nextConnectNanos = System.nanoTime() + retryNanos;
      retryNanos = Math.min(MAX_RETRY_NANOS, retryNanos * 2);
      LOG.warn(
          "replica-lost", "replica", address, "connected", FeedClient.this.connectedReplicaCount());
      listener.onConnectedCountChanged(FeedClient.this.connectedReplicaCount());
      listener.onDisconnected(address);
    }

    private void receive(ControlFrame frame) {
      heardNanos = System.nanoTime();
      retryNanos = FIRST_RETRY_NANOS;
      if (!frame.hasPulse()) {
        listener.receive(address, frame);
        return;
      }
      notePulse(heardNanos, frame.getPulse());
      if (frame.getPulse().getSequence() > applied) {
        applied = frame.getPulse().getSequence();
        pulse(heardNanos);
      }
    }
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    private final Link link;

    Initializer(Link link) {
      this.link = link;
    }

    @Override
    protected void initChannel(SocketChannel opened) {
      MessageFraming.addTo(opened.pipeline(), ControlFrame.getDefaultInstance());
      opened.pipeline().addLast(new Handler(link));
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<ControlFrame> {
    private final Link link;

    Handler(Link link) {
      this.link = link;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ControlFrame frame) {
      link.receive(frame);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warn("replica-connection-failed", "replica", link.address, "reason", cause);
      Channels.close(context.channel());
    }
  }
}
