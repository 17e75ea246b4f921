package org.waxwingbeam.tools.measure.capacity;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures how much heap an object graph keeps alive. */
final class HeapMeter {
  private static final int GC_RUNS = 3;

  private HeapMeter() {}

  /** Returns the heap that is freed when the built object becomes unreachable, in bytes. */
  static long retainedBytes(Supplier<?> builder) {
    long withObject = liveBytesWhileHeld(builder.get());
    return withObject - liveBytes();
  }

  private static long liveBytesWhileHeld(Object built) {
    try {
      return liveBytes();
    } finally {
      Reference.reachabilityFence(built);
    }
  }

  private static long liveBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int run = 0; run < GC_RUNS; run++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
