package org.waxwingbeam.tools.load;

import io.netty.util.concurrent.Future;
import org.waxwingbeam.tools.load.LoadPlan.RequestKind;

/** One request of a load run, with the time at which it was due. */
final class PlannedRequest {
  final RequestKind kind;
  final int entry;
  final String token;
  final String key;
  final long dueNanos;
  final long dueMs;
  Future<?> timeout;
  boolean ended;

  PlannedRequest(RequestKind kind, int entry, String token, String key, long dueNanos, long dueMs) {
    this.kind = kind;
    this.entry = entry;
    this.token = token;
    this.key = key;
    this.dueNanos = dueNanos;
    this.dueMs = dueMs;
  }
}
