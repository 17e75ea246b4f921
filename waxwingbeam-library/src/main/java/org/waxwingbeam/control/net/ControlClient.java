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
import org.waxwingbeam.concurrent.RepeatingTask;
import org.waxwingbeam.control.AppliedConfiguration;
import org.waxwingbeam.control.EntryStateReceiver;
import org.waxwingbeam.control.EntryStateReceiver.ChangeGapException;
import org.waxwingbeam.control.LeaseTracker;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.control.LinkLiveness;
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
 * Keeps an entry instance connected to the leading control replica, from which it receives
 * configurations, entry views and leases, and to which it sends claims and canary samples.
 *
 * <pre>{@code
 * try (ControlClient client = new ControlClient(loop, id, replicas, timings, applied, listener)) {
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
  private static final int CONNECT_TIMEOUT_MS = 500;

  private final EventLoop loop;
  private final Identity identity;
  private final List<Endpoint> replicas;
  private final LinkLiveness.Timings linkTimings;
  private final AppliedConfiguration applied;
  private final LeaseTracker leases = new LeaseTracker();
  private final EntryStateReceiver receiver;
  private final PendingClaimCalls calls = new PendingClaimCalls();
  private Optional<Channel> currentChannel = Optional.empty();
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<Endpoint> leader = Optional.empty();
  private int nextReplica;
  private boolean connecting;
  private boolean closed;
  private long nextHeartbeatNanos;
  private long nextConnectNanos;
  private volatile LeasedEntryView leasedView = LeasedEntryView.NONE;

  /**
   * Identifies the entry instance to the control replicas.
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
   * @param loop the event loop that runs this client
   * @param identity identifies the entry instance
   * @param replicas the addresses at which the control replicas listen for entry instances
   * @param linkTimings when a silent connection is replaced
   * @param applied holds the configuration
   * @param listener called on the loop with each newly applied configuration
   */
  public ControlClient(
      EventLoop loop,
      Identity identity,
      List<Endpoint> replicas,
      LinkLiveness.Timings linkTimings,
      AppliedConfiguration applied,
      Consumer<Configuration> listener) {
    this.loop = loop;
    this.identity = identity;
    this.replicas = List.copyOf(replicas);
    this.linkTimings = linkTimings;
    this.applied = applied;
    receiver = new EntryStateReceiver(applied, leases, listener);
  }

  /** Starts connecting, and reconnects after each loss of the connection. */
  public void start() {
    loop.execute(
        () -> {
          long now = System.nanoTime();
          nextConnectNanos = now;
          timer =
              Optional.of(
                  loop.scheduleAtFixedRate(
                      new RepeatingTask("control-client", this::tick),
                      0,
                      TICK_MS,
                      TimeUnit.MILLISECONDS));
        });
  }

  /**
   * Returns the newest entry view and the times between which it may be used. Its lease covers the
   * applied configuration as well.
   */
  public LeasedEntryView leasedView() {
    return leasedView;
  }

  /**
   * Returns whether a lease confirms that the applied configuration and the entry view are up to
   * date.
   */
  public boolean hasValidLease() {
    LeasedEntryView latest = leasedView;
    return latest.view().number() > 0 && System.nanoTime() - latest.validUntilNanos() < 0;
  }

  /**
   * Sends a command of the claim table to the leading control replica.
   *
   * @param command the command in the claim table's own encoding
   * @param timeoutMs how long to wait for the reply, in milliseconds
   * @param replyReceiver called once on the loop with the reply, or with empty if it is unknown
   *     whether the command was or will be applied
   */
  public void sendClaimCommand(
      ByteString command, long timeoutMs, Consumer<Optional<ByteString>> replyReceiver) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    loop.execute(() -> send(command, deadlineNanos, replyReceiver));
  }

  /** Sends canary samples of a version move; they are dropped if no replica is connected. */
  public void report(Evidence samples) {
    loop.execute(
        () ->
            currentChannel.ifPresent(
                channel ->
                    Channels.send(
                        channel, EntryMessage.newBuilder().setEvidence(samples).build())));
  }

  private void send(
      ByteString command, long deadlineNanos, Consumer<Optional<ByteString>> replyReceiver) {
    if (currentChannel.isEmpty()) {
      replyReceiver.accept(Optional.empty());
      return;
    }
    long sequence = calls.add(deadlineNanos, replyReceiver);
    ClaimCall call = ClaimCall.newBuilder().setSequence(sequence).setCommand(command).build();
    Channels.send(currentChannel.get(), EntryMessage.newBuilder().setClaim(call).build());
  }

  private void tick() {
    long now = System.nanoTime();
    calls.expire(now);
    if (currentChannel.isPresent()) {
      sendHeartbeatIfDue(now);
      currentChannel.ifPresent(each -> LinkMonitor.tickIfMonitored(each, now));
    } else if (!connecting && !closed && now - nextConnectNanos >= 0) {
      connect();
    }
  }

  private void sendHeartbeatIfDue(long now) {
    if (now - nextHeartbeatNanos >= 0) {
      nextHeartbeatNanos = now + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MS);
      sendHeartbeat(now);
    }
  }

  private void sendHeartbeat(long now) {
    Heartbeat heartbeat =
        Heartbeat.newBuilder()
            .setSequence(leases.heartbeatSent(now))
            .setAppliedNumber(applied.current().number())
            .setViewNumber(receiver.view().number())
            .build();
    currentChannel.ifPresent(
        channel ->
            Channels.send(channel, EntryMessage.newBuilder().setHeartbeat(heartbeat).build()));
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
        .addListener((ChannelFuture done) -> onConnected(address, done));
  }

  private Endpoint nextReplica() {
    return replicas.get(nextReplica++ % replicas.size());
  }

  private void onConnected(Endpoint address, ChannelFuture done) {
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
    currentChannel = Optional.of(done.channel());
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
    done.channel().closeFuture().addListener(gone -> onDisconnected(done.channel(), address));
  }

  private void onDisconnected(Channel channel, Endpoint address) {
    if (currentChannel.equals(Optional.of(channel))) {
      currentChannel = Optional.empty();
      calls.failAll();
      LOG.infof("event=control-lost replica=%s", address);
    }
  }

  private void receive(Channel channel, ControlMessage message) {
    long now = System.nanoTime();
    switch (message.getKindCase()) {
      case NOT_LEADER -> redirect(channel, message.getNotLeader());
      case CLAIM -> calls.complete(message.getClaim());
      default -> apply(now, channel, message);
    }
  }

  private void redirect(Channel channel, NotLeader redirect) {
    leader =
        Optional.of(new Endpoint(redirect.getLeaderHost(), redirect.getLeaderPort()))
            .filter(address -> address.port() > 0);
    Channels.close(channel);
  }

  private void apply(long now, Channel channel, ControlMessage message) {
    final long before = applied.current().number();
    try {
      receiver.receive(now, message);
    } catch (MalformedMessageException | ChangeGapException refused) {
      LOG.warnf("event=control-message-refused reason=\"%s\"", refused.getMessage());
      Channels.close(channel);
      return;
    }
    leasedView = leases.toLeasedView(receiver.view());
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
              currentChannel.ifPresent(Channels::close);
              calls.failAll();
            })
        .syncUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      LinkLiveness liveness =
          new LinkLiveness(LinkLiveness.Side.OPENER, linkTimings, System.nanoTime());
      // The heartbeats, to which the leading replica responds, are its pulses.
      MessageFraming.addTo(
          channel.pipeline(),
          ControlMessage.getDefaultInstance(),
          new LinkMonitor(liveness, due -> {}));
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
