package org.waxwingbeam.tools.measure;

import java.util.stream.LongStream;

/**
 * Holds the options of a measurement run.
 *
 * @param brief whether to end within 45 seconds
 * @param firstSeed the first seed to run
 * @param lastSeed the last seed to run, inclusive, at least {@code firstSeed}
 * @since 0.1.0
 */
public record MeasurementOptions(boolean brief, long firstSeed, long lastSeed) {
  /** Returns every seed in order. */
  public LongStream seeds() {
    return LongStream.rangeClosed(firstSeed, lastSeed);
  }
}
