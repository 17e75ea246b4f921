package org.waxwingbeam.tools.measure;

import java.util.List;

/**
 * Holds the results of a measurement.
 *
 * @param tables the measured figures
 * @param bounds the stated bounds with the measured values
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
   * @param columns the column headings
   * @param rows the rows, each with one cell per column
   */
  public record Table(String title, List<String> columns, List<List<String>> rows) {
    /** Copies the lists. */
    public Table {
      columns = List.copyOf(columns);
      rows = rows.stream().map(List::copyOf).toList();
    }
  }

  /**
   * A stated bound and the measured value.
   *
   * @param what the quantity and its unit
   * @param seen the measured value
   * @param limit whether the stated value is an upper or a lower bound
   * @param stated the value of the bound
   */
  public record Bound(String what, double seen, Limit limit, double stated) {
    /** Returns whether the measured value is within the bound; NaN never is. */
    public boolean held() {
      return switch (limit) {
        case AT_MOST -> seen <= stated;
        case AT_LEAST -> seen >= stated;
      };
    }
  }

  /** Distinguishes upper from lower bounds. */
  public enum Limit {
    /** The measured value may not exceed the stated one. */
    AT_MOST,
    /** The measured value may not fall below the stated one. */
    AT_LEAST
  }
}
