package org.waxwingbeam.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.waxwingbeam.model.AccountName;

/**
 * Queue of the attempts that wait for a target of one service.
 *
 * <p>Client accounts are served round-robin, so that a burst from one does not delay the others. A
 * full queue sheds the attempt with the highest shed rank; among equal ranks, the newest attempt of
 * the client account with the most waiting attempts.
 */
final class WaitingQueue {
  private final Map<AccountName, Deque<Attempt>> byAccount = new LinkedHashMap<>();
  private int size;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /**
   * Adds an attempt.
   *
   * @param limit maximum number of attempts in the queue
   * @return the attempt that was shed to keep within the limit, if any; it may be the new one
   */
  Optional<Attempt> add(Attempt attempt, int limit) {
    byAccount
        .computeIfAbsent(attempt.request().account(), name -> new ArrayDeque<>())
        .addLast(attempt);
    size++;
    if (size <= limit) {
      return Optional.empty();
    }
    Attempt shed = selectForShedding();
    remove(shed);
    return Optional.of(shed);
  }

  /**
   * Removes and returns the first attempt that passes a test, in the round-robin order of the
   * client accounts. Only the first attempt of each client account is tested.
   */
  Optional<Attempt> poll(Predicate<Attempt> test) {
    List<AccountName> accounts = new ArrayList<>(byAccount.keySet());
    for (AccountName account : accounts) {
      Attempt first = byAccount.get(account).peekFirst();
      if (test.test(first)) {
        remove(first);
        moveToEnd(account);
        return Optional.of(first);
      }
    }
    return Optional.empty();
  }

  /** Removes an attempt if it is waiting. */
  boolean remove(Attempt attempt) {
    Deque<Attempt> waiting = byAccount.get(attempt.request().account());
    if (waiting == null || !waiting.remove(attempt)) {
      return false;
    }
    size--;
    if (waiting.isEmpty()) {
      byAccount.remove(attempt.request().account());
    }
    return true;
  }

  /**
   * Removes every attempt whose deadline has passed, and returns them in the order of their ids.
   */
  List<Attempt> removeOverdue(long nowNanos) {
    List<Attempt> overdue = new ArrayList<>();
    for (Iterator<Deque<Attempt>> all = byAccount.values().iterator(); all.hasNext(); ) {
      Deque<Attempt> waiting = all.next();
      waiting.stream().filter(each -> isOverdue(each, nowNanos)).forEach(overdue::add);
      waiting.removeIf(each -> isOverdue(each, nowNanos));
      if (waiting.isEmpty()) {
        all.remove();
      }
    }
    size -= overdue.size();
    overdue.sort(Comparator.comparingLong(each -> each.request().attemptId()));
    return overdue;
  }

  private static boolean isOverdue(Attempt attempt, long nowNanos) {
    return nowNanos - attempt.request().deadlineNanos() >= 0;
  }

  private void moveToEnd(AccountName account) {
    Deque<Attempt> waiting = byAccount.remove(account);
    if (waiting != null) {
      byAccount.put(account, waiting);
    }
  }

  private Attempt selectForShedding() {
    int highest =
        byAccount.values().stream().mapToInt(WaitingQueue::highestRank).max().orElseThrow();
    Deque<Attempt> longest =
        byAccount.values().stream()
            .filter(waiting -> highestRank(waiting) == highest)
            .max(Comparator.comparingInt(Deque::size))
            .orElseThrow();
    for (Iterator<Attempt> newestFirst = longest.descendingIterator(); ; ) {
      Attempt attempt = newestFirst.next();
      if (attempt.request().shedRank() == highest) {
        return attempt;
      }
    }
  }

  private static int highestRank(Deque<Attempt> waiting) {
    return waiting.stream().mapToInt(each -> each.request().shedRank()).max().orElse(-1);
  }
}
