package org.waxwingbeam.target;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;

class WaitingQueueTest {
  private final WaitingQueue queue = new WaitingQueue();

  @Test
  void accountsAreServedRoundRobin() {
    LongStream.of(1, 2, 3).forEach(id -> queue.add(attempt(id, "alpha", 5), 64));
    LongStream.of(4, 5).forEach(id -> queue.add(attempt(id, "beta", 5), 64));

    assertThat(pollAll()).containsExactly(1L, 4L, 2L, 5L, 3L).inOrder();
  }

  @Test
  void fullQueueShedsTheNewestOfTheAccountWithMostWaiting() {
    LongStream.of(1, 2, 3).forEach(id -> queue.add(attempt(id, "alpha", 5), 4));
    queue.add(attempt(4, "beta", 5), 4);

    Optional<Attempt> shed = queue.add(attempt(5, "gamma", 5), 4);

    assertThat(shed.map(each -> each.request().attemptId())).isEqualTo(Optional.of(3L));
    assertThat(pollAll()).containsExactly(1L, 4L, 5L, 2L).inOrder();
  }

  @Test
  void fullQueueShedsTheHighestRankFirst() {
    queue.add(attempt(1, "alpha", 9), 2);
    queue.add(attempt(2, "beta", 0), 2);

    Optional<Attempt> shed = queue.add(attempt(3, "beta", 0), 2);

    assertThat(shed.map(each -> each.request().attemptId())).isEqualTo(Optional.of(1L));
  }

  @Test
  void attemptsPastTheirDeadlineAreRemoved() {
    queue.add(attempt(1, "alpha", 5), 64);

    assertThat(queue.removeOverdue(999)).isEmpty();
    assertThat(queue.removeOverdue(1_000)).hasSize(1);
    assertThat(queue.isEmpty()).isTrue();
  }

  private List<Long> pollAll() {
    return LongStream.generate(
            () -> queue.poll(each -> true).map(each -> each.request().attemptId()).orElse(-1L))
        .takeWhile(id -> id >= 0)
        .boxed()
        .toList();
  }

  private static Attempt attempt(long id, String account, int shedRank) {
    DispatchRequest request =
        new DispatchRequest(
            id,
            new ServiceName("listing"),
            new AccountName(account),
            new RouteName("list"),
            true,
            shedRank,
            64,
            1_000,
            1_000,
            false,
            Set.of());
    return new Attempt(request, Optional.empty(), null);
  }
}
