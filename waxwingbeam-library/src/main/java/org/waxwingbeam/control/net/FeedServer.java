package org.waxwingbeam.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.waxwingbeam.control.LinkLiveness;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.ControlPulse;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.EntryPulse;
import org.waxwingbeam.wire.feed.LoadPeers;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Streams the state of a control replica to every entry instance that connects: the routing state
 * and the newest record of each target.
 *
 * <p>All methods are called on the one event loop of the group.
 *
 * <pre>{@code
 * FeedServer server = new FeedServer(group, endpoint, timings, source, receiver);
 * server.publish(record);
 * server.whenApplied(timeoutNanos, confirmed -> respond(confirmed));
 * }</pre>
 *
 * @since 0.1.0
 */
public final class FeedServer implements AutoCloseable {
  /** Number of checks for silent connections in each pulse interval. */
  private static final int CHECKS_PER_PULSE = 2;

  /**
   * Highest number of entry instances to which one load report is sent, so that its cost does not
   * grow with their total number.
   */
  private static final int MAX_LOAD_PEERS = 16;

  /**
   * Minimum time between two distributions of the entry instances' addresses. When all of them
   * start, each of them is told of many others at once.
   */
  private static final long LOAD_PEERS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Bytes that may wait for a slow link to one entry instance. A whole routing state and all target
   * records must fit, or the connection would be closed again and again.
   */
  private static final WriteBufferWaterMark OUTBOUND_BYTES =
      new WriteBufferWaterMark(2 << 20, 4 << 20);

  /** Time after which a routing state is sent again that an entry instance could not apply. */
  private static final long ROUTING_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final EventLog LOG = new EventLog(FeedServer.class);

  private final LinkLiveness.Timings linkTimings;
  private final Source source;
  private final Receiver receiver;
  private final Set<Channel> connections = new LinkedHashSet<>();
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final Channel serverChannel;
  private EncodedRouting routing = new EncodedRouting(RoutingState.getDefaultInstance());
  private long sequence;
  private long announcedSequence;
  private long nextPulseNanos = System.nanoTime();
  private long nextCheckNanos = System.nanoTime();
  private boolean loadPeersChanged;
  private long nextLoadPeersNanos = System.nanoTime();

  /** Supplies the state of a replica. */
  public interface Source {
    /** Returns the newest routing state that the replica has applied. */
    RoutingState routing();

    /** Returns the newest record of every target. */
    List<TargetRecord> targets();

    /** Returns the addresses at which control replicas listen for entry instances, as host:port. */
    List<String> replicas();
  }

  /** Receives the frames of entry instances. */
  public interface Receiver {
    /**
     * Handles a frame other than a greeting or a pulse.
     *
     * @param entry the name of the entry instance that sent it
     * @param frame the frame
     */
    void receive(String entry, EntryFrame frame);
  }

  private record Waiter(
      Predicate<Session> applied, long deadlineNanos, Consumer<Boolean> receiver) {}

  /**
   * Starts listening for entry instances.
   *
   * @param group has a single event loop, which runs everything
   * @param endpoint the address to listen on
   * @param linkTimings when pulses are sent and a silent connection is closed
   * @param source supplies the state that is streamed
   * @param receiver receives the frames of entry instances
   */
  public FeedServer(
      EventLoopGroup group,
      Endpoint endpoint,
      LinkLiveness.Timings linkTimings,
      Source source,
      Receiver receiver) {
    this.linkTimings = linkTimings;
    this.source = source;
    this.receiver = receiver;
    serverChannel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, OUTBOUND_BYTES)
            .childHandler(new Initializer())
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((InetSocketAddress) serverChannel.localAddress()).getPort();
  }

  /**
   * Sends a new routing state to every entry instance. One that has not received the previous state
   * yet gets the newest as soon as it has, so that it does not work through outdated states.
   */
  public void publish(RoutingState state) {
    routing = new EncodedRouting(state);
    sessions.forEach(each -> each.sendRoutingIfNewer(routing));
  }

  /** Sends a new target record to every entry instance. */
  public void publish(TargetRecord record) {
    sequence++;
    sendToAll(ControlFrame.newBuilder().setTarget(record).build());
  }

  /** Sends a frame to every entry instance except the one that it came from. */
  public void relay(String fromEntry, ControlFrame frame) {
    byte[] encoded = frame.toByteArray();
    sessions.stream()
        .filter(each -> !each.name.equals(fromEntry))
        .forEach(each -> each.send(encoded));
  }

  /** Sends each entry instance the addresses of those to which it must send its load reports. */
  private void publishLoadPeers() {
    List<String> all =
        sessions.stream()
            .map(each -> each.loadsAddress)
            .filter(each -> !each.isEmpty())
            .sorted()
            .toList();
    sessions.forEach(each -> each.sendIfChanged(peersOf(each, all)));
  }

  /** Returns the entry instances that follow a session's in the circular order of addresses. */
  private static LoadPeers peersOf(Session session, List<String> all) {
    int own = all.indexOf(session.loadsAddress);
    return LoadPeers.newBuilder()
        .addAllAddresses(
            IntStream.rangeClosed(1, Math.min(MAX_LOAD_PEERS, all.size() - 1))
                .mapToObj(step -> all.get((own + step) % all.size()))
                .toList())
        .setPosition(Math.max(0, own))
        .setEntries(all.size())
        .build();
  }

  private void sendToAll(ControlFrame frame) {
    byte[] encoded = frame.toByteArray();
    sessions.forEach(each -> each.send(encoded));
  }

  private void sendPulseToAll() {
    announcedSequence = sequence;
    sendToAll(pulse());
  }

  private ControlFrame pulse() {
    return ControlFrame.newBuilder()
        .setPulse(
            ControlPulse.newBuilder()
                .addAllReplicas(source.replicas())
                .setEntries(sessions.size())
                .setSequence(sequence))
        .build();
  }

  /** Returns the number of entry instances that are connected. */
  public int entryCount() {
    return sessions.size();
  }

  /**
   * Calls a receiver once every connected entry instance has applied all target records sent so
   * far.
   *
   * @param timeoutNanos the longest time to wait
   * @param receiver called once, with true if all have applied them, false after the time-out
   */
  public void whenApplied(long timeoutNanos, Consumer<Boolean> receiver) {
    long awaited = sequence;
    boolean waits = await(each -> each.appliedSequence >= awaited, timeoutNanos, receiver);
    if (waits && announcedSequence < sequence) {
      // Entry instances confirm a new sequence at once.
      sendPulseToAll();
    }
  }

  /**
   * Calls a receiver once every connected entry instance has applied a revision of the routing
   * state.
   *
   * @param revision the revision, which must be published now or soon
   * @param timeoutNanos the longest time to wait
   * @param receiver called once, with true if all have applied it, false after the time-out
   */
  public void whenRoutingApplied(long revision, long timeoutNanos, Consumer<Boolean> receiver) {
    await(each -> each.hasApplied(revision), timeoutNanos, receiver);
  }

  /** Returns the names of the entry instances that have not applied a routing state. */
  public List<String> entriesBehind(long revision) {
    return sessions.stream()
        .filter(each -> !each.hasApplied(revision))
        .map(each -> each.name)
        .sorted()
        .toList();
  }

  /** Calls a receiver at once or later, and returns whether it waits. */
  private boolean await(Predicate<Session> applied, long timeoutNanos, Consumer<Boolean> receiver) {
    Waiter waiter = new Waiter(applied, System.nanoTime() + timeoutNanos, receiver);
    boolean waits = !isApplied(waiter);
    if (waits) {
      waiters.add(waiter);
    } else {
      receiver.accept(true);
    }
    return waits;
  }

  private boolean isApplied(Waiter waiter) {
    return sessions.stream().allMatch(waiter.applied());
  }

  private void completeWaiters(long nowNanos) {
    List<Waiter> completed =
        waiters.stream()
            .filter(each -> isApplied(each) || nowNanos - each.deadlineNanos() >= 0)
            .toList();
    waiters.removeAll(completed);
    completed.forEach(each -> each.receiver().accept(isApplied(each)));
  }

  /**
   * Completes waiters, sends due pulses, repeats routing states that were not applied, and closes
   * connections that have been silent too long.
   */
  public void tick(long nowNanos) {
    completeWaiters(nowNanos);
    sessions.forEach(each -> each.repeatRoutingIfDue(nowNanos));
    if (nowNanos - nextCheckNanos >= 0) {
      nextCheckNanos = nowNanos + linkTimings.pulseIntervalNanos() / CHECKS_PER_PULSE;
      List.copyOf(connections).forEach(each -> LinkMonitor.tickIfMonitored(each, nowNanos));
    }
    if (nowNanos - nextPulseNanos >= 0) {
      nextPulseNanos = nowNanos + linkTimings.pulseIntervalNanos();
      sendPulseToAll();
    }
    if (loadPeersChanged && nowNanos - nextLoadPeersNanos >= 0) {
      loadPeersChanged = false;
      nextLoadPeersNanos = nowNanos + LOAD_PEERS_INTERVAL_NANOS;
      publishLoadPeers();
    }
  }

  @Override
  public void close() {
    serverChannel.close().syncUninterruptibly();
    List.copyOf(connections).forEach(Channels::close);
  }

  /** A routing state, encoded once for all entry instances. */
  private static final class EncodedRouting {
    private final long revision;
    private final byte[] frame;

    EncodedRouting(RoutingState state) {
      revision = state.getRevision();
      frame = ControlFrame.newBuilder().setRouting(state).build().toByteArray();
    }
  }

  /** One connected entry instance. */
  private final class Session {
    private final Channel channel;
    private final String name;
    private final String loadsAddress;
    private final boolean confirmsRouting;
    private LoadPeers loadPeers = LoadPeers.getDefaultInstance();
    private long appliedSequence;
    private long appliedRevision;
    private long receivedRevision;
    private long sentRevision;
    private long routingSentNanos;

    Session(Channel channel, EntryGreeting greeting) {
      this.channel = channel;
      name = greeting.getName();
      loadsAddress = greeting.getLoadsAddress();
      confirmsRouting = greeting.getConfirmsRouting();
      appliedRevision = greeting.getAppliedRevision();
    }

    /** Returns whether a routing state is applied, or the entry instance does not tell. */
    boolean hasApplied(long revision) {
      return !confirmsRouting || appliedRevision >= revision;
    }

    void recordPulse(EntryPulse pulse) {
      appliedSequence = Math.max(appliedSequence, pulse.getAppliedSequence());
      appliedRevision = Math.max(appliedRevision, pulse.getAppliedRevision());
      receivedRevision = Math.max(receivedRevision, pulse.getReceivedRevision());
    }

    private boolean hasReceived(long revision) {
      return !confirmsRouting || receivedRevision >= revision;
    }

    /** Sends a routing state, unless it is known already or an earlier one is still on its way. */
    void sendRoutingIfNewer(EncodedRouting newest) {
      boolean isNewer = newest.revision > Math.max(appliedRevision, sentRevision);
      if (isNewer && hasReceived(sentRevision)) {
        sendRouting(newest);
      }
    }

    private void sendRouting(EncodedRouting newest) {
      sentRevision = newest.revision;
      routingSentNanos = System.nanoTime();
      send(newest.frame);
    }

    /** Sends the routing state again if the entry instance has received but not applied it. */
    void repeatRoutingIfDue(long nowNanos) {
      boolean due = nowNanos - routingSentNanos >= ROUTING_REPEAT_NANOS;
      if (due && hasReceived(sentRevision) && !hasApplied(sentRevision)) {
        LOG.warn(
            "entry-behind",
            "entry",
            name,
            "applied_revision",
            appliedRevision,
            "sent_revision",
            sentRevision,
            "revision",
            routing.revision);
        sendRouting(routing);
      }
    }

    void sendIfChanged(LoadPeers current) {
      if (!current.equals(loadPeers)) {
        loadPeers = current;
        send(ControlFrame.newBuilder().setLoadPeers(current).build().toByteArray());
      }
    }

    void send(byte[] encodedFrame) {
      write(encodedFrame);
      channel.flush();
    }

    /** Writes a frame without flushing it. */
    void write(byte[] encodedFrame) {
      if (channel.isWritable()) {
        channel
            .write(Unpooled.wrappedBuffer(encodedFrame))
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      } else {
        // The frame is lost: the entry instance must reconnect, and then gets the whole state.
        Channels.close(channel);
      }
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      LinkLiveness liveness =
          new LinkLiveness(LinkLiveness.Side.ACCEPTOR, linkTimings, System.nanoTime());
      // Pulses are encoded once and sent to all entry instances together.
      MessageFraming.addTo(
          channel.pipeline(),
          EntryFrame.getDefaultInstance(),
          new LinkMonitor(liveness, due -> {}));
      channel.pipeline().addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<EntryFrame> {
    private Session session;

    @Override
    protected void channelRead0(ChannelHandlerContext context, EntryFrame frame) {
      if (session == null && frame.hasGreeting()) {
        receiveGreeting(context.channel(), frame.getGreeting());
      } else if (session == null) {
        Channels.close(context.channel());
      } else {
        if (frame.hasPulse()) {
          session.recordPulse(frame.getPulse());
          session.sendRoutingIfNewer(routing);
          completeWaiters(System.nanoTime());
        } else {
          receiver.receive(session.name, frame);
        }
      }
    }

    private void receiveGreeting(Channel channel, EntryGreeting greeting) {
      session = new Session(channel, greeting);
      sessions.removeIf(
          each -> {
            boolean replaced = each.name.equals(greeting.getName());
            if (replaced) {
              Channels.close(each.channel);
            }
            return replaced;
          });
      sessions.add(session);
      LOG.info(
          "entry-connected",
          "entry",
          greeting.getName(),
          "boot",
          greeting.getBootId(),
          "applied_revision",
          greeting.getAppliedRevision(),
          "entries",
          sessions.size());
      if (source.routing().getRevision() > routing.revision) {
        routing = new EncodedRouting(source.routing());
      }
      session.sendRoutingIfNewer(routing);
      source
          .targets()
          .forEach(
              each ->
                  session.write(ControlFrame.newBuilder().setTarget(each).build().toByteArray()));
      session.send(pulse().toByteArray());
      loadPeersChanged = true;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      if (session != null && sessions.remove(session)) {
        LOG.info("entry-lost", "entry", session.name, "entries", sessions.size());
        loadPeersChanged = true;
        completeWaiters(System.nanoTime());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warn("entry-connection-failed", "reason", cause);
      Channels.close(context.channel());
    }
  }
}
