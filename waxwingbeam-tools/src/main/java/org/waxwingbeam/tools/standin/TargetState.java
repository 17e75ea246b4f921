package org.waxwingbeam.tools.standin;

import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.waxwingbeam.target.LoadReport;

/**
 * The faults and switches of a stand-in target; decides which requests fail and how long they take.
 */
final class TargetState {
  private static final double COLD_SLOWDOWN = 2;
  private static final double COLLAPSE_SLOWDOWN = 20;
  private static final double NANOS_PER_MS = 1e6;

  private final TargetSpec spec;
  private final RandomGenerator random;
  private final TreeMap<String, Faults> faultsByPrefix = new TreeMap<>();
  private boolean cold;
  private boolean refusesWhenCold;
  private boolean draining;
  private boolean reportsIdle;
  private long coldSinceNanos;

  TargetState(TargetSpec spec, RandomGenerator random, long nowNanos) {
    this.spec = spec;
    this.random = random;
    this.cold = spec.cold();
    this.coldSinceNanos = nowNanos;
    faultsByPrefix.put("", Faults.NONE);
  }

  /** Returns the faults of the longest matching path prefix that has an entry. */
  Faults faultsFor(String path) {
    return faultsByPrefix.descendingMap().entrySet().stream()
        .filter(entry -> path.startsWith(entry.getKey()))
        .findFirst()
        .orElseThrow()
        .getValue();
  }

  /** Sets one fault of a path prefix, or one switch of the whole target. */
  void setFault(String prefix, String key, String value, long nowNanos) {
    switch (key) {
      case "cold" -> setCold(Boolean.parseBoolean(value), nowNanos);
      case "cold-refuses" -> refusesWhenCold = Boolean.parseBoolean(value);
      case "drain" -> draining = Boolean.parseBoolean(value);
      case "lie" -> reportsIdle = Boolean.parseBoolean(value);
      default ->
          faultsByPrefix.merge(
              prefix, Faults.NONE.with(key, value), (old, ignored) -> old.with(key, value));
    }
  }

  void setCold(boolean value, long nowNanos) {
    cold = value;
    coldSinceNanos = nowNanos;
  }

  boolean isCold(long nowNanos) {
    boolean warmedUp =
        spec.warmUpMs() > 0 && nowNanos - coldSinceNanos >= spec.warmUpMs() * NANOS_PER_MS;
    if (cold && warmedUp) {
      cold = false;
    }
    return cold;
  }

  boolean isDraining() {
    return draining;
  }

  /** Returns the reason why a request is refused before it runs, or empty text. */
  String refusalReason(Faults faults, int inFlight, long nowNanos) {
    if (draining) {
      return "draining";
    }
    if (refusesWhenCold && isCold(nowNanos) && inFlight >= spec.coldCapacity()) {
      return "cold";
    }
    return random.nextDouble() < faults.shed() ? "overloaded" : "";
  }

  boolean drawFailure(Faults faults, int inFlight) {
    return inFlight > faults.failAbove() && random.nextDouble() < faults.fail();
  }

  boolean drawTruncation(Faults faults) {
    return random.nextDouble() < faults.truncate();
  }

  /** Draws the service time of one request, in nanoseconds. */
  long drawServiceNanos(Faults faults, int inFlight, long nowNanos) {
    double factor = inFlight > faults.slowAbove() ? faults.slow() : 1;
    if (isCold(nowNanos)) {
      factor *= inFlight > spec.coldCapacity() ? COLLAPSE_SLOWDOWN : COLD_SLOWDOWN;
    }
    double variate =
        switch (spec.distribution()) {
          case FIXED -> 1;
          case EXPONENTIAL -> random.nextExponential();
        };
    return (long) ((variate * spec.serviceTimeMs() * factor + faults.lateMs()) * NANOS_PER_MS);
  }

  /** Returns the load report; with the switch {@code lie} on, it says that the target is idle. */
  LoadReport report(int inFlight, int queued) {
    return reportsIdle
        ? new LoadReport(0, 0, spec.slots())
        : new LoadReport(inFlight, queued, spec.slots());
  }
}
