package org.waxwingbeam.tools.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.Futures;

/**
 * Runs several stand-in targets and their control port in one process.
 *
 * <pre>{@code
 * List<TargetSpec> specs = TargetSpec.parse("service=listings,port=0,count=3");
 * try (StandInProcess targets =
 *     StandInProcess.start(new StandInProcess.Plan(specs, control, entries, 5_000, 2, 1))) {
 *   ...
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class StandInProcess implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 64 * 1024;

  private final MultiThreadIoEventLoopGroup eventLoops;
  private final List<StandInTarget> targets;
  private final List<Announcer> announcers;
  private final Channel control;

  /**
   * The targets and options of the process.
   *
   * @param targets the stand-in targets
   * @param control address of the control port
   * @param entries the entry instances' addresses for announcements; if empty, targets are not
   *     announced
   * @param timeToLiveMs how long an announcement is valid, in milliseconds
   * @param threads number of event loops that serve the targets
   * @param seed seed of the random numbers for service times and faults
   */
  public record Plan(
      List<TargetSpec> targets,
      Endpoint control,
      List<Endpoint> entries,
      int timeToLiveMs,
      int threads,
      long seed) {
    /** Copies the lists. */
    public Plan {
      targets = List.copyOf(targets);
      entries = List.copyOf(entries);
    }
  }

  private StandInProcess(Plan plan) throws InterruptedException {
    eventLoops = new MultiThreadIoEventLoopGroup(plan.threads(), NioIoHandler.newFactory());
    SplittableRandom random = new SplittableRandom(plan.seed());
    targets =
        plan.targets().stream()
            .map(spec -> new StandInTarget(spec, eventLoops.next(), random.split()))
            .toList();
    for (StandInTarget target : targets) {
      target.start();
    }
    control = bindControl(plan.control());
    announcers = announcers(plan);
    announcers.forEach(Announcer::start);
  }

  /** Starts the targets, the control port and the announcers. */
  public static StandInProcess start(Plan plan) throws InterruptedException {
    return new StandInProcess(plan);
  }

  /** Returns the address of the control port. */
  public Endpoint controlEndpoint() {
    InetSocketAddress bound = (InetSocketAddress) control.localAddress();
    return new Endpoint(bound.getAddress().getHostAddress(), bound.getPort());
  }

  /** Returns the addresses of the targets, in the order of the plan. */
  public List<Endpoint> targetEndpoints() {
    return targets.stream()
        .map(target -> new Endpoint(target.spec().host(), target.spec().port()))
        .toList();
  }

  /** Announces every target at once. */
  public void announceAll() {
    announcers.forEach(Announcer::scheduleAnnouncement);
  }

  Stream<StandInTarget> targets() {
    return targets.stream();
  }

  /** Waits until the control port is closed. */
  public void awaitClosed() throws InterruptedException {
    control.closeFuture().await();
  }

  @Override
  public void close() {
    announcers.forEach(Announcer::stop);
    Futures.ignore(control.close());
    targets.forEach(StandInTarget::stop);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private List<Announcer> announcers(Plan plan) {
    if (plan.entries().isEmpty()) {
      return List.of();
    }
    return IntStream.range(0, targets.size())
        .mapToObj(
            index -> new Announcer(targets.get(index), plan.entries(), index, plan.timeToLiveMs()))
        .toList();
  }

  private Channel bindControl(Endpoint endpoint) throws InterruptedException {
    ControlHandler handler = new ControlHandler(this);
    return new ServerBootstrap()
        .group(eventLoops)
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                    .addLast(handler);
              }
            })
        .bind(endpoint.socketAddress())
        .sync()
        .channel();
  }
}
