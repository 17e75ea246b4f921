package org.waxwingbeam.target.version;

import java.util.Optional;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionName;

/**
 * Selects the version of a service to which an attempt is sent.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface VersionSelector {
  /** Allows any version for every request. */
  VersionSelector ANY = (nowNanos, service, account, route, idempotent) -> Optional.empty();

  /**
   * Selects the version for the first attempt at a request and counts the request towards that
   * version's share.
   *
   * @param nowNanos the entry's monotonic clock
   * @param service the service
   * @param account the client account on whose behalf the request is sent
   * @param route the route
   * @param idempotent whether the request may run twice
   * @return the version, or empty if any version may serve it
   */
  Optional<VersionName> select(
      long nowNanos, ServiceName service, AccountName account, RouteName route, boolean idempotent);

  /**
   * Selects the version for a further attempt at a request. It is never an unproven version.
   *
   * @param nowNanos the entry's monotonic clock
   * @param service the service
   * @return the version, or empty if any version may serve it
   */
  default Optional<VersionName> selectRetry(long nowNanos, ServiceName service) {
    return Optional.empty();
  }

  /**
   * Returns whether an attempt that has been queued may still be sent to its selected version.
   *
   * @param nowNanos the entry's monotonic clock
   * @param service the service
   * @param version the version that was selected
   */
  default boolean accepts(long nowNanos, ServiceName service, VersionName version) {
    return true;
  }
}
