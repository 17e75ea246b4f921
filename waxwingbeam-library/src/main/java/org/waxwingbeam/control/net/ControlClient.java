package org.waxwingbeam.control.net;

import com.google.protobuf.ByteString;
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
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.EntryStateReceiver;
import org.waxwingbeam.control.EntryStateReceiver.ChangeGapException;
import org.waxwingbeam.control.LeaseTracker;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.control.PendingClaimCalls;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.wire.control.ClaimCall;
import org.waxwingbeam.wire.control.ControlMessage;
import org.waxwingbeam.wire.control.EntryHello;
import org.waxwingbeam.wire.control.EntryMember;
import org.waxwingbeam.wire.control.EntryMessage;
import org.waxwingbeam.wire.control.Heartbeat;
import org.waxwingbeam.wire.control.NotLeader;
import org.waxwingbeam.wire.versions.Evidence;

/**
 * Keeps an entry instance connected to the leading control replica: receives configurations, entry
 * views and leases, and carries claims.
 *
 * <pre>{@code
 * try (ControlClient client = new ControlClient(loop, identity, replicas, applied, listener)) {
 *   client.start();
 *   LeasedEntryView view = client.leasedView();
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ControlClient implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ControlClient.class);
  private static final long HEARTBEAT_INTERVAL_MS = 500;
  private static final long RECONNECT_DELAY_MS = 100;
  private static final long TICK_MS = 20;
  private static final long LEASE_WAIT_MS = 1_500;
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoop loop;
  private final Identity identity;
  private final List<Endpoint> replicas;
  private final AppliedConfiguration applied;
  private final LeaseTracker leases = new LeaseTracker();
  private final EntryStateReceiver receiver;
  private final PendingClaimCalls calls = new PendingClaimCalls();
  private Optional<Channel> current = Optional.empty();
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<Endpoint> leader = Optional.empty();
  private int nextReplica;
  private boolean connecting;
  private boolean closed;
  private long nextHeartbeatNanos;
  private long lastProgressNanos;
  private long nextConnectNanos;
  private volatile LeasedEntryView leasedView = LeasedEntryView.NONE;

  /**
   * Says who connects.
   *
   * @param member the entry instance
   * @param token the credential of the system's own processes
   */
  public record Identity(EntryMember member, String token) {
    @Override
    public String toString() {
      return "Identity[member=" + member.getName() + "]";
    }
  }

  /**
   * Creates a client that is not connected yet.
   *
   * @param loop runs everything of this client
   * @param identity who connects
   * @param replicas where the control replicas take entry instances
   * @param applied holds the configuration
   * @param listener called on the loop with each newly applied configuration
   */
  public ControlClient(
      EventLoop loop,
      Identity identity,
      List<Endpoint> replicas,
      AppliedConfiguration applied,
      Consumer<Configuration> listener) {
    this.loop = loop;
    this.identity = identity;
    this.replicas = List.copyOf(replicas);
    this.applied = applied;
    receiver = new EntryStateReceiver(applied, leases, listener);
  }

  /** Begins to connect, and to reconnect after each loss. */
  public void start() {
    loop.execute(
        () -> {
          long now = System.nanoTime();
          nextConnectNanos = now;
          timer =
              Optional.of(loop.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS));
        });
  }

  /** Returns the newest view and when it may be used; its lease is the freshness lease as well. */
  public LeasedEntryView leasedView() {
    return leasedView;
  }

  /** Returns whether the applied configuration is known to be fresh. */
  public boolean hasValidLease() {
    LeasedEntryView leased = leasedView;
    return leased.view().number() > 0 && System.nanoTime() - leased.validUntilNanos() < 0;
  }

  /**
   * Sends a command of the claim table to the leading control replica.
   *
   * @param command in the claim table's own encoding
   * @param timeoutMs how long to wait for the answer, in milliseconds
   * @param answer called once on the loop with the answer, or empty if it is not known whether the
   *     command was, or will be, applied
   */
  public void sendClaimCommand(
      ByteString command, long timeoutMs, Consumer<Optional<ByteString>> answer) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    loop.execute(() -> send(command, until, answer));
  }

  /** Sends evidence on a version move; it is lost if no replica is connected. */
  public void report(Evidence evidence) {
    loop.execute(
        () ->
            current.ifPresent(
                channel ->
                    Channels.send(
                        channel, EntryMessage.newBuilder().setEvidence(evidence).build())));
  }

  private void send(ByteString command, long until, Consumer<Optional<ByteString>> answer) {
    if (current.isEmpty()) {
      answer.accept(Optional.empty());
      return;
    }
    long sequence = calls.add(until, answer);
    ClaimCall call = ClaimCall.newBuilder().setSequence(sequence).setCommand(command).build();
    Channels.send(current.get(), EntryMessage.newBuilder().setClaim(call).build());
  }

  private void tick() {
    long now = System.nanoTime();
    calls.expire(now);
    if (current.isPresent()) {
      heartbeatIfDue(now);
    } else if (!connecting && !closed && now - nextConnectNanos >= 0) {
      connect();
    }
  }

  private void heartbeatIfDue(long now) {
    if (now - lastProgressNanos > TimeUnit.MILLISECONDS.toNanos(LEASE_WAIT_MS)) {
      current.ifPresent(Channels::close);
    } else if (now - nextHeartbeatNanos >= 0) {
      nextHeartbeatNanos = now + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MS);
      heartbeat(now);
    }
  }

  private void heartbeat(long now) {
    Heartbeat beat =
        Heartbeat.newBuilder()
            .setSequence(leases.heartbeatSent(now))
            .setAppliedNumber(applied.current().number())
            .setViewNumber(receiver.view().number())
            .build();
    current.ifPresent(
        channel -> Channels.send(channel, EntryMessage.newBuilder().setHeartbeat(beat).build()));
  }

  private void connect() {
    connecting = true;
    Endpoint address = leader.orElseGet(this::nextReplica);
    leader = Optional.empty();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new Initializer())
        .connect(address.socketAddress())
        .addListener((ChannelFuture done) -> connected(address, done));
  }

  private Endpoint nextReplica() {
    return replicas.get(nextReplica++ % replicas.size());
  }

  private void connected(Endpoint address, ChannelFuture done) {
    connecting = false;
    long now = System.nanoTime();
    nextConnectNanos = now + TimeUnit.MILLISECONDS.toNanos(RECONNECT_DELAY_MS);
    if (!done.isSuccess()) {
      return;
    }
    if (closed) {
      Channels.close(done.channel());
      return;
    }
    current = Optional.of(done.channel());
    lastProgressNanos = now;
    nextHeartbeatNanos = now;
    LOG.infof("event=control-connected replica=%s", address);
    EntryHello hello =
        EntryHello.newBuilder()
            .setToken(identity.token())
            .setMember(identity.member())
            .setAppliedNumber(applied.current().number())
            .setViewNumber(receiver.view().number())
            .build();
    Channels.send(done.channel(), EntryMessage.newBuilder().setHello(hello).build());
    done.channel().closeFuture().addListener(gone -> lost(done.channel(), address));
  }

  private void lost(Channel channel, Endpoint address) {
    if (current.equals(Optional.of(channel))) {
      current = Optional.empty();
      calls.fail();
      LOG.infof("event=control-lost replica=%s", address);
    }
  }

  private void receive(Channel channel, ControlMessage message) {
    long now = System.nanoTime();
    switch (message.getKindCase()) {
      case NOT_LEADER -> follow(channel, message.getNotLeader());
      case CLAIM -> calls.replied(message.getClaim());
      default -> apply(now, channel, message);
    }
  }

  private void follow(Channel channel, NotLeader redirect) {
    leader =
        Optional.of(new Endpoint(redirect.getLeaderHost(), redirect.getLeaderPort()))
            .filter(address -> address.port() > 0);
    Channels.close(channel);
  }

  private void apply(long now, Channel channel, ControlMessage message) {
    final long before = applied.current().number();
    try {
      receiver.receive(now, message);
    } catch (MalformedMessageException | ChangeGapException wrong) {
      LOG.warnf("event=control-message-refused reason=\"%s\"", wrong.getMessage());
      Channels.close(channel);
      return;
    }
    if (message.hasLease()) {
      lastProgressNanos = now;
    }
    leasedView = leases.leased(receiver.view());
    if (applied.current().number() > before || message.hasView()) {
      nextHeartbeatNanos = now;
    }
  }

  @Override
  public void close() {
    loop.submit(
            () -> {
              closed = true;
              timer.ifPresent(each -> each.cancel(false));
              current.ifPresent(Channels::close);
              calls.fail();
            })
        .syncUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      MessageFraming.addTo(channel.pipeline(), ControlMessage.getDefaultInstance());
      channel.pipeline().addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<ControlMessage> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ControlMessage message) {
      receive(context.channel(), message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debugf("event=control-connection-failed reason=\"%s\"", cause.getMessage());
      Channels.close(context.channel());
    }
  }
}
