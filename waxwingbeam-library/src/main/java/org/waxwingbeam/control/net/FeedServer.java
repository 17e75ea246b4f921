package org.waxwingbeam.control.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.feed.ControlFrame;
import org.waxwingbeam.wire.feed.ControlPulse;
import org.waxwingbeam.wire.feed.EntryFrame;
import org.waxwingbeam.wire.feed.EntryGreeting;
import org.waxwingbeam.wire.feed.LoadPeers;
import org.waxwingbeam.wire.feed.TargetRecord;
import org.waxwingbeam.wire.routing.RoutingState;

/**
 * Streams what a control replica knows to every entry instance that connects: the routing state and
 * what targets have said of themselves.
 *
 * <p>All methods are called on the one event loop of the group.
 *
 * <pre>{@code
 * FeedServer server = new FeedServer(group, endpoint, source, frames);
 * server.publish(record);
 * server.whenApplied(timeoutNanos, confirmed -> answer(confirmed));
 * }</pre>
 *
 * @since 0.1.0
 */
public final class FeedServer implements AutoCloseable {
  /** Pause between two pulses; an entry instance is given up after four of them. */
  private static final long PULSE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long SILENCE_NANOS = 4 * PULSE_NANOS;

  /**
   * Entry instances to which each load report goes, so that its cost does not grow with the fleet.
   */
  private static final int MAX_LOAD_PEERS = 16;

  private static final EventLog LOG = new EventLog(FeedServer.class);

  private final Source source;
  private final Receiver receiver;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final Channel listener;
  private long sequence;
  private long nextPulseNanos = System.nanoTime();

  /** Tells what a replica knows. */
  public interface Source {
    /** Returns the newest routing state that the replica has applied. */
    RoutingState routing();

    /** Returns what every target has last said. */
    List<TargetRecord> targets();

    /** Returns the addresses at which control replicas take entry instances, as host:port. */
    List<String> replicas();
  }

  /** Takes what entry instances tell. */
  public interface Receiver {
    /**
     * Takes a frame other than a greeting or a pulse.
     *
     * @param entry the name of the entry instance
     * @param frame what it tells
     */
    void receive(String entry, EntryFrame frame);
  }

  private record Waiter(long sequence, long untilNanos, Consumer<Boolean> receiver) {}

  /**
   * Starts to listen.
   *
   * @param group its one event loop runs everything
   * @param endpoint where entry instances connect
   * @param source what is streamed
   * @param receiver takes what entry instances tell
   */
  public FeedServer(EventLoopGroup group, Endpoint endpoint, Source source, Receiver receiver) {
    this.source = source;
    this.receiver = receiver;
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer())
            .bind(endpoint.socketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Streams a new routing state. */
  public void publish(RoutingState state) {
    sendToAll(ControlFrame.newBuilder().setRouting(state).build());
  }

  /** Streams what a target has said. */
  public void publish(TargetRecord record) {
    sequence++;
    sendToAll(ControlFrame.newBuilder().setTarget(record).build());
    sendToAll(pulse());
  }

  /** Passes a frame on to every entry instance but the one that sent it. */
  public void relay(String fromEntry, ControlFrame frame) {
    sessions.stream()
        .filter(each -> !each.name.equals(fromEntry))
        .forEach(each -> each.send(frame));
  }

  /** Tells each entry instance to which others it sends load reports. */
  private void publishLoadPeers() {
    List<String> all =
        sessions.stream()
            .map(each -> each.loadsAddress)
            .filter(each -> !each.isEmpty())
            .sorted()
            .toList();
    sessions.forEach(
        each -> each.send(ControlFrame.newBuilder().setLoadPeers(peersOf(each, all)).build()));
  }

  /** Returns the entry instances that follow one in the order of addresses, around the end. */
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
    sessions.forEach(each -> each.send(frame));
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
   * Waits until every connected entry instance has applied all that was streamed.
   *
   * @param timeoutNanos the longest wait
   * @param receiver called once: true if all have applied it, false if one has not in time
   */
  public void whenApplied(long timeoutNanos, Consumer<Boolean> receiver) {
    Waiter waiter = new Waiter(sequence, System.nanoTime() + timeoutNanos, receiver);
    if (isApplied(waiter)) {
      receiver.accept(true);
    } else {
      waiters.add(waiter);
    }
  }

  private boolean isApplied(Waiter waiter) {
    return sessions.stream().allMatch(each -> each.applied >= waiter.sequence());
  }

  private void settle(long nowNanos) {
    List<Waiter> settled =
        waiters.stream()
            .filter(each -> isApplied(each) || nowNanos - each.untilNanos() >= 0)
            .toList();
    waiters.removeAll(settled);
    settled.forEach(each -> each.receiver().accept(isApplied(each)));
  }

  /** Lets time pass: sends pulses and drops entry instances that have fallen silent. */
  public void tick(long nowNanos) {
    settle(nowNanos);
    if (nowNanos - nextPulseNanos >= 0) {
      nextPulseNanos = nowNanos + PULSE_NANOS;
      List.copyOf(sessions).stream()
          .filter(each -> nowNanos - each.heardNanos > SILENCE_NANOS)
          .forEach(each -> Channels.close(each.channel));
      sendToAll(pulse());
    }
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    List.copyOf(sessions).forEach(each -> Channels.close(each.channel));
  }

  /** One connected entry instance. */
  private static final class Session {
    private final Channel channel;
    private final String name;
    private final String loadsAddress;
    private long applied;
    private long heardNanos = System.nanoTime();

    Session(Channel channel, EntryGreeting greeting) {
      this.channel = channel;
      name = greeting.getName();
      loadsAddress = greeting.getLoadsAddress();
    }

    void send(ControlFrame frame) {
      if (channel.isWritable()) {
        Channels.send(channel, frame);
      } else {
        // It has missed a change: it connects again and gets everything.
        Channels.close(channel);
      }
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      MessageFraming.addTo(channel.pipeline(), EntryFrame.getDefaultInstance());
      channel.pipeline().addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<EntryFrame> {
    private Session session;

    @Override
    protected void channelRead0(ChannelHandlerContext context, EntryFrame frame) {
      if (session == null && frame.hasGreeting()) {
        greet(context.channel(), frame.getGreeting());
      } else if (session == null) {
        Channels.close(context.channel());
      } else {
        session.heardNanos = System.nanoTime();
        if (frame.hasPulse()) {
          session.applied = Math.max(session.applied, frame.getPulse().getAppliedSequence());
          settle(session.heardNanos);
        } else {
          receiver.receive(session.name, frame);
        }
      }
    }

    private void greet(Channel channel, EntryGreeting greeting) {
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
          "entries",
          sessions.size());
      RoutingState state = source.routing();
      if (state.getRevision() > 0) {
        session.send(ControlFrame.newBuilder().setRouting(state).build());
      }
      source
          .targets()
          .forEach(each -> session.send(ControlFrame.newBuilder().setTarget(each).build()));
      session.send(pulse());
      publishLoadPeers();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (session != null && sessions.remove(session)) {
        LOG.info("entry-lost", "entry", session.name, "entries", sessions.size());
        publishLoadPeers();
        settle(System.nanoTime());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.warn("entry-connection-failed", "reason", cause);
      Channels.close(context.channel());
    }
  }
}
