package org.waxwingbeam.target;

import java.util.Optional;
import org.waxwingbeam.model.VersionName;

/** One attempt at a request, from its arrival until it is refused or completed. */
final class Attempt {
  private final DispatchRequest request;
  private Optional<VersionName> version;
  private final ServiceDispatcher dispatcher;
  private TargetState target;
  private long boundNanos;
  private long boundBootId;

  /**
   * Creates an attempt that has no target yet.
   *
   * @param version the version that must serve it, or empty if any may
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

  /** Replaces the version that must serve the attempt. */
  void reselect(Optional<VersionName> other) {
    version = other;
  }

  ServiceDispatcher dispatcher() {
    return dispatcher;
  }

  /** Returns the target whose place the attempt holds, or empty while it waits. */
  Optional<TargetState> target() {
    return Optional.ofNullable(target);
  }

  void bind(long nowNanos, TargetState chosen) {
    boundNanos = nowNanos;
    boundBootId = chosen.announcement().bootId();
    target = chosen;
  }

  /** Returns the start of the target's process that was known when the attempt was given it. */
  long boundBootId() {
    return boundBootId;
  }

  /** Returns when the attempt was given its target. */
  long boundNanos() {
    return boundNanos;
  }
}
