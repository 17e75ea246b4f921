package org.waxwingbeam.target;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Says how an entry instance chooses among the targets that may take a request.
 *
 * <p>All but {@link Quota} give every request a target at once. {@link Quota} limits what each
 * entry instance has under way at each target and lets other requests wait at the entry instance.
 *
 * <pre>{@code
 * ChoicePolicy policy = ChoicePolicy.named("quota").orElseThrow();
 * }</pre>
 *
 * @since 0.1.0
 */
public sealed interface ChoicePolicy {
  /** The name of the policy that is used unless the settings name another. */
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

  /** Chooses any target, each as likely as the others. */
  record Random() implements ChoicePolicy {}

  /** Chooses the targets in turn. */
  record RoundRobin() implements ChoicePolicy {}

  /**
   * Chooses the target at which this entry instance has the fewest requests under way.
   *
   * @param sampled how many targets, drawn at random, are compared
   */
  record LeastOutstanding(int sampled) implements ChoicePolicy {}

  /**
   * Chooses the target with the least product of requests under way from here and their latency, a
   * moving average that follows rises at once.
   *
   * @param sampled how many targets, drawn at random, are compared
   */
  record PeakEwma(int sampled) implements ChoicePolicy {}

  /**
   * Chooses by what probes and answers have told of the targets' load, and by requests under way
   * from here where that is old.
   *
   * @param sampled how many targets, drawn at random, are compared
   */
  record ProbedPool(int sampled) implements ChoicePolicy {}

  /**
   * Prefers the targets of which this entry instance is one of few senders, and uses the others
   * when all of those are busy.
   *
   * @param senders entry instances that prefer each target
   */
  record FewSenders(int senders) implements ChoicePolicy {}

  /**
   * Chooses the target with the fewest requests under way from all entry instances, as far as they
   * have told.
   *
   * @param sampled how many targets, drawn at random, are compared
   */
  record SharedCounts(int sampled) implements ChoicePolicy {}

  /**
   * Partitions the concurrency limit of each target, its slots times an overcommit, among the entry
   * instances. A request that finds no free part of a limit waits until one frees.
   *
   * @param leastOvercommit the overcommit while nothing waits
   * @param greatestOvercommit the overcommit that is approached while requests wait
   */
  record Quota(double leastOvercommit, double greatestOvercommit) implements ChoicePolicy {}
}
