package org.waxwingbeam.target.version;

import java.util.Optional;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionName;

/**
 * Decides which version of a service an attempt is to be sent to.
 *
 * @since 0.1.0
 */
public interface VersionSelector {
  /** Leaves every choice of version open. */
  VersionSelector ANY = (nowNanos, service, account, route, idempotent) -> Optional.empty();

  /**
   * Selects the version for one attempt and counts the attempt towards that version's share.
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
}
