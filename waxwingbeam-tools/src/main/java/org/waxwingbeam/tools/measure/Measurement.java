package org.waxwingbeam.tools.measure;

/**
 * One measurement that {@code waxwingbeam measure} can run.
 *
 * @since 0.1.0
 */
public interface Measurement {
  /** Returns the word that selects the measurement. */
  String name();

  /** Returns one line that says what is measured. */
  String summary();

  /** Runs the measurement to its end. */
  MeasurementReport run(MeasurementOptions options) throws Exception;
}
