package org.waxwingbeam.tools.measure;

import java.util.List;

/**
 * Holds what a measurement has found.
 *
 * @param tables the figures
 * @param bounds what was promised, with what was seen
 * @since 0.1.0
 */
public record MeasurementReport(List<Table> tables, List<Bound> bounds) {
  /** Copies the lists. */
  public MeasurementReport {
    tables = List.copyOf(tables);
    bounds = List.copyOf(bounds);
  }

  /**
   * One table of figures.
   *
   * @param title what the table shows, with units
   * @param columns the column heads
   * @param rows as many cells each as there are columns
   */
  public record Table(String title, List<String> columns, List<List<String>> rows) {
    /** Copies the lists. */
    public Table {
      columns = List.copyOf(columns);
      rows = rows.stream().map(List::copyOf).toList();
    }
  }

  /**
   * A stated bound and the value that was seen.
   *
   * @param what the quantity and its unit
   * @param seen the measured value
   * @param limit whether the stated value is the greatest or the least allowed
   * @param stated the stated value
   */
  public record Bound(String what, double seen, Limit limit, double stated) {
    /** Returns whether the seen value keeps the bound. A value that is no number does not. */
    public boolean held() {
      return switch (limit) {
        case AT_MOST -> seen <= stated;
        case AT_LEAST -> seen >= stated;
      };
    }
  }

  /** Tells on which side of a stated value the seen one must lie. */
  public enum Limit {
    /** The seen value may not exceed the stated one. */
    AT_MOST,
    /** The seen value may not fall below the stated one. */
    AT_LEAST
  }
}
