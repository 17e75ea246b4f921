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
 * One change of the configuration. {@link ConfigurationEditor} decides whether it is accepted.
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
   * Starts to move a service's traffic to another version.
   *
   * @param service the service
   * @param from the version that carries the traffic now; needed for a service's first move only
   * @param to the version that is to carry it
   * @param deadlineMs when the move must be finished, in milliseconds since the epoch
   */
  record MoveVersion(
      ServiceName service, Optional<VersionName> from, VersionName to, long deadlineMs)
      implements Change {}

  /**
   * Brings a version move one step further. The leader of the control replicas makes this change.
   *
   * @param service the service
   * @param to the version that the move leads to
   * @param sharePerMille the new version's part of the requests, 0 to 1,000
   * @param state how far the move has come
   */
  record AdvanceMove(
      ServiceName service, VersionName to, int sharePerMille, VersionMove.State state)
      implements Change {}

  /**
   * Gives all traffic back to the old version.
   *
   * @param service the service
   * @param reason what was wrong, for operators
   */
  record RollBackMove(ServiceName service, String reason) implements Change {}
}
