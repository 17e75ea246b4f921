package org.waxwingbeam.tools.load;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Sends requests at a given rate, even while earlier ones still await their responses, and measures
 * each latency from the time at which the request was due.
 *
 * <pre>{@code
 * LoadResult result = LoadGenerator.run(plan, outcome -> {});
 * long p99Micros = result.latencies().getValueAtPercentile(99);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class LoadGenerator {
  private LoadGenerator() {}

  /**
   * Generates the load and waits until every request has ended.
   *
   * @param plan the load
   * @param observer receives every outcome, on the event loops' threads
   */
  public static LoadResult run(LoadPlan plan, Consumer<RequestOutcome> observer) {
    MultiThreadIoEventLoopGroup eventLoops =
        new MultiThreadIoEventLoopGroup(plan.threads(), NioIoHandler.newFactory());
    try {
      SplittableRandom random = new SplittableRandom(plan.seed());
      List<CompletableFuture<LoadResult>> parts =
          IntStream.range(0, plan.threads())
              .mapToObj(
                  index ->
                      new LoadDriver(plan, index, eventLoops.next(), random.split(), observer)
                          .start())
              .toList();
      LoadResult result = new LoadResult();
      parts.forEach(part -> result.add(part.join()));
      return result;
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
