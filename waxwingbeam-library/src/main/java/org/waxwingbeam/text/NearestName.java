package org.waxwingbeam.text;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Suggests the known name that is most similar to a mistyped one.
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
   * Returns the known name with the smallest edit distance; of equal ones, the first in sort order.
   *
   * @param name the mistyped name
   * @param known the known names
   * @return the nearest name, or empty if there are no known names
   */
  public static Optional<String> of(String name, Collection<String> known) {
    return known.stream().sorted().min(Comparator.comparingInt(each -> distance(name, each)));
  }

  /** Returns the Levenshtein distance of two names. */
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
