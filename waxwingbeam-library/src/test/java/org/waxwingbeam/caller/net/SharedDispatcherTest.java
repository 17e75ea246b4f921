package org.waxwingbeam.caller.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.target.Completion;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.DispatchRequest;
import org.waxwingbeam.target.Dispatcher;

/** Attempts that a dispatcher has queued. */
class SharedDispatcherTest {
  private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Queues every attempt, and refuses it at the first tick after its delay. */
  private static final class QueueingDispatcher implements Dispatcher {
    private record Entry(long attemptId, long dueNanos) {}

    private final List<Entry> queue = new ArrayList<>();

    @Override
    public Decision request(long nowNanos, DispatchRequest request) {
      queue.add(new Entry(request.attemptId(), nowNanos + DELAY_NANOS));
      return new Decision.Queued(request.attemptId(), Optional.of(DELAY_NANOS));
    }

    @Override
    public List<Decision> complete(long nowNanos, Completion completion) {
      return List.of();
    }

    @Override
    public void cancel(long nowNanos, long attemptId) {}

    @Override
    public List<Decision> tick(long nowNanos) {
      List<Entry> due = queue.stream().filter(each -> nowNanos - each.dueNanos() >= 0).toList();
      queue.removeAll(due);
      return due.stream()
          .<Decision>map(each -> new Decision.Refused(each.attemptId(), ErrorKind.OVERLOADED, 0))
          .toList();
    }
  }

  private static DispatchRequest request(long attemptId) {
    return new DispatchRequest(
        attemptId,
        new ServiceName("alpha"),
        new AccountName("common"),
        new RouteName("r"),
        true,
        1,
        64,
        Long.MAX_VALUE,
        Long.MAX_VALUE,
        false,
        Set.of());
  }

  /** The second attempt is queued shortly before the first is decided. */
  @Test
  void eachQueuedAttemptIsDecidedWhenItIsDue() throws Exception {
    DefaultEventExecutor executor = new DefaultEventExecutor();
    SharedDispatcher dispatcher = new SharedDispatcher(new QueueingDispatcher(), System::nanoTime);
    List<CompletableFuture<Decision>> decisions = new ArrayList<>();
    for (long attempt = 1; attempt <= 3; attempt++) {
      CompletableFuture<Decision> decided = new CompletableFuture<>();
      decisions.add(decided);
      DispatchRequest request = request(attempt);
      Decision first =
          executor
              .submit(() -> dispatcher.request(request, executor, decided::complete))
              .get(1, TimeUnit.SECONDS);
      assertThat(first).isInstanceOf(Decision.Queued.class);
      Thread.sleep(7);
    }
    for (CompletableFuture<Decision> each : decisions) {
      assertThat(each.get(1, TimeUnit.SECONDS)).isInstanceOf(Decision.Refused.class);
    }
    executor.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}
