package org.waxwingbeam.target;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Says how an entry instance chooses among the targets that may take a request.
 *
 * <pre>{@code
 * ChoicePolicy policy = ChoicePolicy.named("least-outstanding").orElseThrow();
 * }</pre>
 *
 * @since 0.1.0
 */
public sealed interface ChoicePolicy {
  /** The name of the policy that is used unless the settings name another. */
  String DEFAULT_NAME = "least-outstanding";

  /** Finds a policy by the name that settings use. */
  static Optional<ChoicePolicy> named(String name) {
    return Optional.ofNullable(all().get(name));
  }

  /** Returns every policy by the name that settings use. */
  static SortedMap<String, ChoicePolicy> all() {
    return new TreeMap<>(
        Map.of(
            "random", new Random(),
            "round-robin", new RoundRobin(),
            "least-outstanding-of-two", new LeastOutstanding(2),
            "least-outstanding", new LeastOutstanding(Integer.MAX_VALUE)));
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
}
