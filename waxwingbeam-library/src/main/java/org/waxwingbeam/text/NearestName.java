package org.waxwingbeam.text;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the known name that a mistyped one most likely stands for.
 *
 * <pre>{@code
 * NearestName.of("listng", List.of("archive", "listing")); // "listing"
 * }</pre>
 *
 * @since 0.1.0
 */
public final class NearestName {
  private NearestName() {}

  /**
   * Returns the known name with the least edit distance; among equals the first in order.
   *
   * @param name the mistyped name
   * @param known the names to choose from
   * @return the nearest name, or empty if none is known
   */
  public static Optional<String> of(String name, Collection<String> known) {
    return known.stream().sorted().min(Comparator.comparingInt(each -> distance(name, each)));
  }

  /** Counts the characters to insert, remove or replace. */
  private static int distance(String left, String right) {
    int[] row = new int[right.length() + 1];
    for (int column = 0; column < row.length; column++) {
      row[column] = column;
    }
    for (int line = 1; line <= left.length(); line++) {
      int diagonal = row[0];
      row[0] = line;
      for (int column = 1; column < row.length; column++) {
        int replaced = diagonal + (left.charAt(line - 1) == right.charAt(column - 1) ? 0 : 1);
        diagonal = row[column];
        row[column] = Math.min(replaced, 1 + Math.min(row[column], row[column - 1]));
      }
    }
    return row[right.length()];
  }
}
