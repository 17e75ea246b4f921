package org.waxwingbeam.operator;

import java.util.Optional;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;

/**
 * A change of the configuration; {@link ConfigurationEditor} decides whether it is accepted.
 *
 * @since 0.1.0
 */
public sealed interface Change {
  /**
   * Creates a template or replaces the one of the same name.
   *
   * @param template the whole template
   */
  record PutTemplate(Template template) implements Change {}

  /**
   * Removes a template that no client account uses.
   *
   * @param template its name
   */
  record RemoveTemplate(TemplateName template) implements Change {}

  /**
   * Creates a client account or replaces the one of the same name.
   *
   * @param account the whole client account
   */
  record PutAccount(Account account) implements Change {}

  /**
   * Removes a client account.
   *
   * @param account its name
   */
  record RemoveAccount(AccountName account) implements Change {}

  /**
   * Takes a data centre out of service.
   *
   * @param dataCentre its name
   */
  record TakeDataCentreOut(DataCentreName dataCentre) implements Change {}

  /**
   * Brings a data centre back into service.
   *
   * @param dataCentre its name
   */
  record BringDataCentreIn(DataCentreName dataCentre) implements Change {}

  /**
   * Starts moving a service's traffic to another version.
   *
   * @param service the service
   * @param from the version that serves the traffic now; required for a service's first move only
   * @param to the version that the traffic is moved to
   * @param deadlineMs when the move must be finished, in milliseconds since the epoch
   */
  record MoveVersion(
      ServiceName service, Optional<VersionName> from, VersionName to, long deadlineMs)
      implements Change {}

  /**
   * Advances a version move by one step. This change is made by the leading control replica.
   *
   * @param service the service
   * @param to the new version of the move
   * @param sharePerMille the new version's share of the requests, 0 to 1,000
   * @param state the state of the move after the step
   */
  record AdvanceMove(
      ServiceName service, VersionName to, int sharePerMille, VersionMove.State state)
      implements Change {}

  /**
   * Rolls a version move back: all traffic returns to the old version.
   *
   * @param service the service
   * @param reason the reason for the rollback, for operators
   */
  record RollBackMove(ServiceName service, String reason) implements Change {}
}
