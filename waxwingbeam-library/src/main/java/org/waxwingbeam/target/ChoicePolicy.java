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
   * @param sampleSize how many targets, drawn at random, are compared
   */
  record LeastOutstanding(int sampleSize) implements ChoicePolicy {}

  /**
   * Chooses the target with the least product of requests under way from here and their latency, a
   * moving average that follows rises at once.
   *
   * @param sampleSize how many targets, drawn at random, are compared
   */
  record PeakEwma(int sampleSize) implements ChoicePolicy {}

  /**
   * Chooses by what probes and answers have told of the targets' load, and by requests under way
   * from here where that is old.
   *
   * @param sampleSize how many targets, drawn at random, are compared
   */
  record ProbedPool(int sampleSize) implements ChoicePolicy {}

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
   * @param sampleSize how many targets, drawn at random, are compared
   */
  record SharedCounts(int sampleSize) implements ChoicePolicy {}

  /**
   * Partitions the concurrency limit of each target, its slots times an overcommit, among the entry
   * instances. A request that finds no free part of a limit waits until one frees.
   *
   * @param minOvercommit the overcommit while nothing waits
   * @param maxOvercommit the overcommit that is approached while requests wait
   */
  record Quota(double minOvercommit, double maxOvercommit) implements ChoicePolicy {}
}
