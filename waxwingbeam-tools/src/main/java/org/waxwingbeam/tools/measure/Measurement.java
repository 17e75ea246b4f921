package org.waxwingbeam.tools.measure;

/**
 * One measurement that {@code waxwingbeam measure} can run.
 *
 * @since 0.1.0
 */
public interface Measurement {
  /** Returns the name that selects the measurement on the command line. */
  String name();

  /** Returns a one-line description for the help text. */
  String summary();

  /** Runs the measurement to completion. */
  MeasurementReport run(MeasurementOptions options) throws Exception;
}
