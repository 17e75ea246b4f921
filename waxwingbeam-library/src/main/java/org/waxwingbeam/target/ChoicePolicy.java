package org.waxwingbeam.target;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Policy by which an entry instance chooses among the targets that are eligible for a request.
 *
 * <p>All policies but {@link Quota} assign a target to every request immediately. {@link Quota}
 * limits the outstanding requests of each entry instance at each target and queues further requests
 * at the entry instance.
 *
 * <pre>{@code
 * ChoicePolicy policy = ChoicePolicy.named("quota").orElseThrow();
 * }</pre>
 *
 * @since 0.1.0
 */
public sealed interface ChoicePolicy {
  /** Name of the policy that is used if the settings name none. */
  String DEFAULT_NAME = "quota";

  /** Finds a policy by the name that settings use. */
  static Optional<ChoicePolicy> named(String name) {
    return Optional.ofNullable(all().get(name));
  }

  /** Returns every policy by the name that settings use. */
  static SortedMap<String, ChoicePolicy> all() {
    SortedMap<String, ChoicePolicy> policies = new TreeMap<>();
    policies.put("random", new Random());
    policies.put("round-robin", new RoundRobin());
    policies.put("least-outstanding-of-two", new LeastOutstanding(2));
    policies.put("least-outstanding", new LeastOutstanding(Integer.MAX_VALUE));
    policies.put("peak-ewma", new PeakEwma(2));
    policies.put("probed-pool", new ProbedPool(16));
    policies.put("few-senders", new FewSenders(4));
    policies.put("shared-counts", new SharedCounts(6));
    policies.put("quota-1.34", new Quota(1.34, 1.34));
    policies.put("quota-2", new Quota(2, 2));
    policies.put("quota-3", new Quota(3, 3));
    policies.put("quota", new Quota(3, 4));
    return Collections.unmodifiableSortedMap(policies);
  }

  /** Chooses a target uniformly at random. */
  record Random() implements ChoicePolicy {}

  /** Chooses the targets in turn. */
  record RoundRobin() implements ChoicePolicy {}

  /**
   * Chooses the target with the fewest outstanding requests of this entry instance.
   *
   * @param sampleSize number of targets, drawn at random, that are compared
   */
  record LeastOutstanding(int sampleSize) implements ChoicePolicy {}

  /**
   * Chooses the target with the lowest product of this entry instance's outstanding requests and
   * their latency, a moving average that follows a rise immediately and decays over time.
   *
   * @param sampleSize number of targets, drawn at random, that are compared
   */
  record PeakEwma(int sampleSize) implements ChoicePolicy {}

  /**
   * Chooses by the load that targets report on status checks and responses, and by this entry
   * instance's outstanding requests if the latest report is out of date.
   *
   * @param sampleSize number of targets, drawn at random, that are compared
   */
  record ProbedPool(int sampleSize) implements ChoicePolicy {}

  /**
   * Prefers the targets for which this entry instance is one of a few senders, and uses the other
   * targets only when all of those are busy.
   *
   * @param senders number of entry instances that prefer each target
   */
  record FewSenders(int senders) implements ChoicePolicy {}

  /**
   * Chooses the target with the fewest outstanding requests of all entry instances, by the counts
   * that they last shared.
   *
   * @param sampleSize number of targets, drawn at random, that are compared
   */
  record SharedCounts(int sampleSize) implements ChoicePolicy {}

  /**
   * Divides the concurrency limit of each target, its slots times an overcommit factor, into quotas
   * of the entry instances. A request that finds no remaining quota waits until some is released.
   *
   * @param minOvercommit the overcommit factor while no request waits
   * @param maxOvercommit the overcommit factor that is approached while requests wait
   */
  record Quota(double minOvercommit, double maxOvercommit) implements ChoicePolicy {}
}
