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
  private final Deque<Exchange> waiting = new ArrayDeque<>();
  private final Set<Exchange> running = new HashSet<>();
  private TargetSpec spec;
  private Channel server;
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
    server = bootstrap().bind(spec.host(), spec.port()).sync().channel();
    spec = spec.onPort(((InetSocketAddress) server.localAddress()).getPort());
  }

  boolean isListening() {
    return server.isActive();
  }

  void opened(Channel channel) {
    channels.add(channel);
  }

  /** Cancels the request of a closed connection. */
  void closed(Channel channel, Exchange exchange) {
    channels.remove(channel);
    if (exchange != null) {
      cancel(exchange);
    }
  }

  /** Runs, queues or refuses a complete request. */
  void arrive(Exchange exchange) {
    long now = System.nanoTime();
    exchange.arrivedNanos = now;
    record.arrived(System.currentTimeMillis());
    Faults faults = state.faultsFor(exchange.path);
    String refusal = state.refusal(faults, running.size(), now);
    if (!refusal.isEmpty()) {
      refuse(exchange, refusal);
    } else if (exchange.crashes) {
      begin(exchange);
      crash();
    } else if (running.size() < spec.slots()) {
      run(exchange, faults);
    } else if (waiting.size() < spec.queue()) {
      exchange.state = State.WAITING;
      waiting.add(exchange);
    } else {
      refuse(exchange, "overloaded");
    }
  }

  /** Simulates a crash: ends all exchanges, closes all connections and stops listening. */
  void crash() {
    List.copyOf(running).forEach(exchange -> end(exchange, "crashed"));
    running.clear();
    waiting.clear();
    Futures.ignore(server.close());
    List.copyOf(channels).forEach(channel -> Futures.ignore(channel.close()));
    if (spec.restartMs() > 0) {
      Futures.ignore(loop.schedule(this::restart, spec.restartMs(), TimeUnit.MILLISECONDS));
    }
  }

  void set(String prefix, String key, String value) {
    state.set(prefix, key, value, System.nanoTime());
  }

  LoadReport report() {
    return state.report(running.size(), waiting.size());
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
            RunRecord.quoted(spec.service()),
            spec.port(),
            RunRecord.quoted(spec.version()),
            RunRecord.quoted(spec.dataCentre()),
            bootId,
            RunRecord.quoted(announcedState().name()),
            isListening(),
            running.size(),
            record.jsonFields(withRuns));
  }

  void clearRecord() {
    record.clear();
  }

  void stop() {
    Futures.ignore(server.close());
    List.copyOf(channels).forEach(channel -> Futures.ignore(channel.close()));
  }

  /** Ends a running exchange, if it has not ended yet, and starts queued ones. */
  void finished(Exchange exchange, String outcome) {
    if (running.remove(exchange)) {
      end(exchange, outcome);
      runNext();
    }
  }

  private void run(Exchange exchange, Faults faults) {
    begin(exchange);
    long now = System.nanoTime();
    boolean cold = state.isCold(now);
    record.started(exchange.run, running.size(), cold);
    if (state.fails(faults, running.size())) {
      ResponseWriter.fail(this, exchange);
      return;
    }
    long serviceNanos = state.serviceNanos(faults, running.size(), now);
    long leftNanos = exchange.deadlineMs * NANOS_PER_MS - (now - exchange.arrivedNanos);
    boolean expires = serviceNanos > leftNanos;
    Runnable end = expires ? () -> ResponseWriter.expire(this, exchange) : () -> respond(exchange);
    exchange.timer =
        loop.schedule(end, Math.max(0, Math.min(serviceNanos, leftNanos)), TimeUnit.NANOSECONDS);
  }

  private void begin(Exchange exchange) {
    exchange.state = State.RUNNING;
    exchange.run =
        new RunRecord.Run(
            exchange.id, exchange.key, exchange.token, exchange.path, System.currentTimeMillis());
    running.add(exchange);
    if (exchange.crashes) {
      record.started(exchange.run, running.size(), state.isCold(System.nanoTime()));
    }
  }

  private void respond(Exchange exchange) {
    boolean truncated = state.truncates(state.faultsFor(exchange.path));
    if (truncated) {
      ResponseWriter.truncate(this, exchange);
    } else {
      ResponseWriter.respond(this, exchange);
    }
  }

  private void refuse(Exchange exchange, String reason) {
    exchange.state = State.DONE;
    record.refused(reason);
    ResponseWriter.refuse(this, exchange, reason);
  }

  private void cancel(Exchange exchange) {
    if (waiting.remove(exchange)) {
      exchange.state = State.DONE;
    }
    finished(exchange, "cancelled");
  }

  private void end(Exchange exchange, String outcome) {
    exchange.state = State.DONE;
    if (exchange.timer != null) {
      exchange.timer.cancel(false);
    }
    record.ended(exchange.run, System.currentTimeMillis(), outcome);
  }

  private void runNext() {
    while (running.size() < spec.slots() && !waiting.isEmpty()) {
      Exchange next = waiting.remove();
      long waitedMs = (System.nanoTime() - next.arrivedNanos) / NANOS_PER_MS;
      if (waitedMs >= next.deadlineMs) {
        refuse(next, "overloaded");
      } else {
        run(next, state.faultsFor(next.path));
      }
    }
  }

  private void restart() {
    bootId = System.currentTimeMillis();
    state.setCold(spec.cold(), System.nanoTime());
    server = bootstrap().bind(spec.host(), spec.port()).channel();
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
