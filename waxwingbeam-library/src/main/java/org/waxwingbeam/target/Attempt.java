package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.VersionName;

/** One attempt at a request, from its arrival until it is refused or completed. */
final class Attempt {
  private final DispatchRequest request;
  private Optional<VersionName> version;
  private final ServiceDispatcher dispatcher;
  private TargetState target;
  private long assignedNanos;
  private long assignedBootId;

  /**
   * Creates an attempt that has no target yet.
   *
   * @param version the required version of the target, or empty if any version is allowed
   */
  Attempt(DispatchRequest request, Optional<VersionName> version, ServiceDispatcher dispatcher) {
    this.request = request;
    this.version = version;
    this.dispatcher = dispatcher;
  }

  DispatchRequest request() {
    return request;
  }

  Optional<VersionName> version() {
    return version;
  }

  /** Replaces the required version of the target. */
  void setVersion(Optional<VersionName> other) {
    version = other;
  }

  ServiceDispatcher dispatcher() {
    return dispatcher;
  }

  /** Returns the assigned target, or empty while the attempt waits. */
  Optional<TargetState> target() {
    return Optional.ofNullable(target);
  }

  void assign(long nowNanos, TargetState chosen) {
    assignedNanos = nowNanos;
    assignedBootId = chosen.announcement().bootId();
    target = chosen;
  }

  /** Returns the boot id that the target had at the time of the assignment. */
  long assignedBootId() {
    return assignedBootId;
  }

  /** Returns the time of the assignment, on the entry's monotonic clock. */
  long assignedNanos() {
    return assignedNanos;
  }
}
