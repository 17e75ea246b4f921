package org.waxwingbeam.tools.measure.capacity;

import java.util.List;

/**
 * A straight line fitted by least squares to a cost measured at several sizes.
 *
 * @param costName the cost, its unit and the size that it depends on
 * @param points the measured costs, by ascending size
 * @param perUnit the cost of each unit of size
 * @param intercept the cost at size 0
 */
record Slope(String costName, List<Point> points, double perUnit, double intercept) {
  private static final int MIN_POINTS = 3;

  /** A cost measured at one size. */
  record Point(double size, double cost) {}

  /**
   * Fits the line.
   *
   * @throws IllegalArgumentException if there are fewer than three points
   */
  static Slope fit(String costName, List<Point> points) {
    if (points.size() < MIN_POINTS) {
      throw new IllegalArgumentException(
          "%s: %d points; expected at least %d".formatted(costName, points.size(), MIN_POINTS));
    }
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanCost = points.stream().mapToDouble(Point::cost).average().orElseThrow();
    double covariance =
        points.stream()
            .mapToDouble(point -> (point.size() - meanSize) * (point.cost() - meanCost))
            .sum();
    double variance =
        points.stream().mapToDouble(point -> Math.pow(point.size() - meanSize, 2)).sum();
    double perUnit = covariance / variance;
    return new Slope(costName, List.copyOf(points), perUnit, meanCost - perUnit * meanSize);
  }

  /** Returns the fitted cost at a size. */
  double costAt(double size) {
    return intercept + perUnit * size;
  }
}
