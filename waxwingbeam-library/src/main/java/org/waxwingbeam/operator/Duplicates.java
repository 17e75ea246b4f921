package org.waxwingbeam.operator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Finds values that occur more than once. */
final class Duplicates {
  private Duplicates() {}

  /** Returns each value that occurs again, in the order of its second occurrence. */
  static <T> List<T> of(Stream<T> values) {
    Set<T> seen = new HashSet<>();
    return values.filter(value -> !seen.add(value)).distinct().toList();
  }
}
