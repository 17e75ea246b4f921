package org.waxwingbeam.tools.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.tools.Futures;
import org.waxwingbeam.tools.standin.Exchange.State;
import org.waxwingbeam.wire.target.Announcement;

/** One stand-in target. Requests and commands are handled on its event loop. */
final class StandInTarget {
  private static final long NANOS_PER_MS = 1_000_000;
  private static final int BACKLOG = 1024;

  private final EventLoop loop;
  private final RunRecord record = new RunRecord();
  private final TargetState state;
  private final Set<Channel> channels = new HashSet<>();
  private final Deque<Exchange> queue = new ArrayDeque<>();
  private final Set<Exchange> running = new HashSet<>();
  private TargetSpec spec;
  private Channel serverChannel;
  private long bootId;

  StandInTarget(TargetSpec spec, EventLoop loop, RandomGenerator random) {
    this.spec = spec;
    this.loop = loop;
    this.state = new TargetState(spec, random, System.nanoTime());
  }

  TargetSpec spec() {
    return spec;
  }

  EventLoop loop() {
    return loop;
  }

  /** Binds the port and waits for it; must not be called on the event loop. */
  void start() throws InterruptedException {
    bootId = System.currentTimeMillis();
    serverChannel = bootstrap().bind(spec.host(), spec.port()).sync().channel();
    spec = spec.withPort(((InetSocketAddress) serverChannel.localAddress()).getPort());
  }

  boolean isListening() {
    return serverChannel.isActive();
  }

  void onConnectionOpened(Channel channel) {
    channels.add(channel);
  }

  /** Cancels the request of a closed connection. */
  void onConnectionClosed(Channel channel, Exchange exchange) {
    channels.remove(channel);
    if (exchange != null) {
      cancel(exchange);
    }
  }

  /** Runs, queues or refuses a complete request. */
  void handleRequest(Exchange exchange) {
    long now = System.nanoTime();
    exchange.arrivedNanos = now;
    record.recordArrival(System.currentTimeMillis());
    Faults faults = state.faultsFor(exchange.path);
    String refusal = state.refusalReason(faults, running.size(), now);
    if (!refusal.isEmpty()) {
      refuse(exchange, refusal);
    } else if (exchange.crashesTarget) {
      markRunning(exchange);
      crash();
    } else if (running.size() < spec.slots()) {
      startRequest(exchange, faults);
    } else if (queue.size() < spec.queue()) {
      exchange.state = State.WAITING;
      queue.add(exchange);
    } else {
      refuse(exchange, "overloaded");
    }
  }

  /** Simulates a crash: ends all exchanges, closes all connections and stops listening. */
  void crash() {
    List.copyOf(running).forEach(exchange -> endExchange(exchange, "crashed"));
    running.clear();
    queue.clear();
    Futures.ignore(serverChannel.close());
    List.copyOf(channels).forEach(channel -> Futures.ignore(channel.close()));
    if (spec.restartMs() > 0) {
      Futures.ignore(loop.schedule(this::restart, spec.restartMs(), TimeUnit.MILLISECONDS));
    }
  }

  void setFault(String prefix, String key, String value) {
    state.setFault(prefix, key, value, System.nanoTime());
  }

  LoadReport report() {
    return state.report(running.size(), queue.size());
  }

  boolean isDraining() {
    return state.isDraining();
  }

  Announcement announcement(int timeToLiveMs) {
    return Announcement.newBuilder()
        .setService(spec.service())
        .setHost(spec.host())
        .setPort(spec.port())
        .setVersion(spec.version())
        .setDataCentre(spec.dataCentre())
        .setBootId(bootId)
        .setSlots(spec.slots())
        .setColdCapacity(spec.coldCapacity())
        .setState(announcedState())
        .setTimeToLiveMs(timeToLiveMs)
        .build();
  }

  String json(boolean withRuns) {
    return ("{\"service\":%s,\"port\":%d,\"version\":%s,\"dataCentre\":%s,\"bootId\":%d,"
            + "\"state\":%s,\"listening\":%s,\"inFlight\":%d,%s}")
        .formatted(
            RunRecord.jsonString(spec.service()),
            spec.port(),
            RunRecord.jsonString(spec.version()),
            RunRecord.jsonString(spec.dataCentre()),
            bootId,
            RunRecord.jsonString(announcedState().name()),
            isListening(),
            running.size(),
            record.jsonFields(withRuns));
  }

  void clearRecord() {
    record.clear();
  }

  void stop() {
    Futures.ignore(serverChannel.close());
    List.copyOf(channels).forEach(channel -> Futures.ignore(channel.close()));
  }

  /** Ends a running exchange, if it has not ended yet, and starts queued ones. */
  void finishRun(Exchange exchange, String outcome) {
    if (running.remove(exchange)) {
      endExchange(exchange, outcome);
      startQueued();
    }
  }

  private void startRequest(Exchange exchange, Faults faults) {
    markRunning(exchange);
    long now = System.nanoTime();
    boolean cold = state.isCold(now);
    record.recordStart(exchange.run, running.size(), cold);
    if (state.drawFailure(faults, running.size())) {
      ResponseWriter.fail(this, exchange);
      return;
    }
    long serviceNanos = state.drawServiceNanos(faults, running.size(), now);
    long remainingNanos = exchange.deadlineMs * NANOS_PER_MS - (now - exchange.arrivedNanos);
    boolean expires = serviceNanos > remainingNanos;
    Runnable end = expires ? () -> ResponseWriter.expire(this, exchange) : () -> respond(exchange);
    exchange.timer =
        loop.schedule(
            end, Math.max(0, Math.min(serviceNanos, remainingNanos)), TimeUnit.NANOSECONDS);
  }

  private void markRunning(Exchange exchange) {
    exchange.state = State.RUNNING;
    exchange.run =
        new RunRecord.Run(
            exchange.requestId,
            exchange.idempotencyKey,
            exchange.token,
            exchange.path,
            System.currentTimeMillis());
    running.add(exchange);
    if (exchange.crashesTarget) {
      record.recordStart(exchange.run, running.size(), state.isCold(System.nanoTime()));
    }
  }

  private void respond(Exchange exchange) {
    boolean truncated = state.drawTruncation(state.faultsFor(exchange.path));
    if (truncated) {
      ResponseWriter.truncate(this, exchange);
    } else {
      ResponseWriter.respond(this, exchange);
    }
  }

  private void refuse(Exchange exchange, String reason) {
    exchange.state = State.DONE;
    record.recordRefusal(reason);
    ResponseWriter.refuse(this, exchange, reason);
  }

  private void cancel(Exchange exchange) {
    if (queue.remove(exchange)) {
      exchange.state = State.DONE;
    }
    finishRun(exchange, "cancelled");
  }

  private void endExchange(Exchange exchange, String outcome) {
    exchange.state = State.DONE;
    if (exchange.timer != null) {
      exchange.timer.cancel(false);
    }
    record.recordEnd(exchange.run, System.currentTimeMillis(), outcome);
  }

  private void startQueued() {
    while (running.size() < spec.slots() && !queue.isEmpty()) {
      Exchange next = queue.remove();
      long queuedMs = (System.nanoTime() - next.arrivedNanos) / NANOS_PER_MS;
      if (queuedMs >= next.deadlineMs) {
        refuse(next, "overloaded");
      } else {
        startRequest(next, state.faultsFor(next.path));
      }
    }
  }

  private void restart() {
    bootId = System.currentTimeMillis();
    state.setCold(spec.cold(), System.nanoTime());
    serverChannel = bootstrap().bind(spec.host(), spec.port()).channel();
  }

  private Announcement.State announcedState() {
    if (state.isDraining()) {
      return Announcement.State.DRAINING;
    }
    return state.isCold(System.nanoTime()) ? Announcement.State.COLD : Announcement.State.WARM;
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpServerCodec());
                channel.pipeline().addLast(new TargetHandler(StandInTarget.this));
              }
            });
  }
}
