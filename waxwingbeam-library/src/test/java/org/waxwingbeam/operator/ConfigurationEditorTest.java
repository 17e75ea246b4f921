package org.waxwingbeam.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.waxwingbeam.operator.TestConfigurations.ACCOUNT;
import static org.waxwingbeam.operator.TestConfigurations.LISTING;
import static org.waxwingbeam.operator.TestConfigurations.NOW_MS;
import static org.waxwingbeam.operator.TestConfigurations.PAGE;
import static org.waxwingbeam.operator.TestConfigurations.TEMPLATE;
import static org.waxwingbeam.operator.TestConfigurations.configured;
import static org.waxwingbeam.operator.TestConfigurations.moveTo;
import static org.waxwingbeam.operator.TestConfigurations.reasons;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;

class ConfigurationEditorTest {
  private static final Change PUT_TEMPLATE = new Change.PutTemplate(TEMPLATE);
  private static final Change PUT_ACCOUNT = new Change.PutAccount(ACCOUNT);
  private static final DataCentreName NORTH = new DataCentreName("north");

  @Test
  void eachAcceptedChangeIncrementsTheNumber() {
    Configuration configuration = configured(PUT_TEMPLATE, PUT_ACCOUNT);

    assertThat(configuration.number()).isEqualTo(2);
    assertThat(configuration.accounts()).containsExactly(ACCOUNT.name(), ACCOUNT);
  }

  @Test
  void templateIsRefusedWithEveryFault() {
    Change change =
        new Change.PutTemplate(
            TestConfigurations.template(
                "listing",
                "Listings.example",
                PAGE,
                PAGE,
                TestConfigurations.route("files", "files/**/x")));

    assertThat(reasons(Configuration.EMPTY, change))
        .containsExactly(
            "template 'listing' host pattern 'Listings.example': expected a lower-case host name"
                + " of at most 253 characters with {account} in it once",
            "template 'listing' route 'files' path pattern 'files/**/x': expected a path such as"
                + " /pages/* or /files/**, where * stands for one segment and a final ** for the"
                + " rest",
            "template 'listing' route 'page': expected each name at most once",
            "template 'listing' routes for 'GET /pages/*': expected one route only")
        .inOrder();
  }

  @Test
  void twoTemplatesMayNotShareTheirHostPattern() {
    Change change =
        new Change.PutTemplate(TestConfigurations.template("pages", TEMPLATE.hostPattern(), PAGE));

    assertThat(reasons(configured(PUT_TEMPLATE), change))
        .containsExactly(
            "template 'pages' host pattern '{account}.listings.example': expected one that no"
                + " other template has; template 'listing' has it");
  }

  @Test
  void accountWithUnknownTemplateIsRefusedWithTheNearestName() {
    Change change =
        new Change.PutAccount(TestConfigurations.account("parish", "listng", Parameters.NONE));

    assertThat(reasons(configured(PUT_TEMPLATE), change))
        .containsExactly(
            "client account 'parish' template 'listng': expected a known one, such as 'listing'");
  }

  @Test
  void contradictoryParametersAreRefusedInAccountAndInTemplate() {
    Parameters shortTotal = Parameters.NONE.with(Parameter.TRANSFER_TOTAL, 20_000);
    Change account =
        new Change.PutAccount(TestConfigurations.account("parish", "listing", shortTotal));
    String expected =
        "client account 'parish' template 'listing' transfer-idle '30000 ms': expected at most"
            + " transfer-total, which is 20000 ms";

    assertThat(reasons(configured(PUT_TEMPLATE), account)).containsExactly(expected);

    Parameters idle = Parameters.NONE.with(Parameter.TRANSFER_IDLE, 20_000);
    Change quicker = new Change.PutTemplate(TEMPLATE.withParameters(idle));
    assertThat(reasons(configured(quicker, account), PUT_TEMPLATE)).containsExactly(expected);
  }

  @Test
  void usedTemplateIsNotRemoved() {
    Change change = new Change.RemoveTemplate(TEMPLATE.name());

    assertThat(reasons(configured(PUT_TEMPLATE, PUT_ACCOUNT), change))
        .containsExactly(
            "template 'listing': expected no client account to use it; used by parish");
  }

  @Test
  void removalOfUnknownNameIsRefused() {
    assertThat(reasons(Configuration.EMPTY, new Change.RemoveTemplate(new TemplateName("listing"))))
        .containsExactly("template 'listing': expected a known one; there is none");
    assertThat(reasons(Configuration.EMPTY, new Change.RemoveAccount(new AccountName("parish"))))
        .containsExactly("client account 'parish': expected a known one; there is none");
  }

  @Test
  void dataCentreIsTakenOutAndBroughtIn() {
    Change out = new Change.TakeDataCentreOut(NORTH);
    Change in = new Change.BringDataCentreIn(NORTH);

    assertThat(configured(out).dataCentresOut()).containsExactly(NORTH);
    assertThat(configured(out, in).dataCentresOut()).isEmpty();
    assertThat(reasons(configured(out), out))
        .containsExactly("data centre 'north': expected one that is in service");
    assertThat(reasons(Configuration.EMPTY, in))
        .containsExactly("data centre 'north': expected one that is out of service; out are none");
  }

  @Test
  void moveStartsWithShareOfZero() {
    assertThat(configured(PUT_TEMPLATE, moveTo("v2")).moves())
        .containsExactly(
            LISTING,
            new VersionMove(
                LISTING,
                new VersionName("v1"),
                new VersionName("v2"),
                NOW_MS,
                NOW_MS + 60_000,
                0,
                VersionMove.State.RUNNING,
                ""));
  }

  @Test
  void secondMoveWaitsForTheFirst() {
    assertThat(reasons(configured(PUT_TEMPLATE, moveTo("v2")), moveTo("v3")))
        .containsExactly(
            "version move of service 'listing' to 'v3': expected the move to v2 to be finished"
                + " or rolled back first");
  }

  @Test
  void firstMoveNeedsCurrentVersionAndFutureDeadline() {
    Change change =
        new Change.MoveVersion(LISTING, Optional.empty(), new VersionName("v2"), NOW_MS);

    assertThat(reasons(configured(PUT_TEMPLATE), change))
        .containsExactly(
            "version move of service 'listing' from '': expected the present version; this is the"
                + " service's first move",
            "version move of service 'listing' deadline '1000000 ms': expected a time after now,"
                + " which is 1000000 ms, and at most 31 days later")
        .inOrder();
  }

  @Test
  void rolledBackMoveKeepsOldVersionCurrent() {
    Change back = new Change.RollBackMove(LISTING, "errors on route page");
    Configuration configuration = configured(PUT_TEMPLATE, moveTo("v2"), back);

    VersionMove move = configuration.moves().get(LISTING);
    assertThat(List.of(move.state(), move.sharePerMille(), move.reason()))
        .containsExactly(VersionMove.State.ROLLED_BACK, 0, "errors on route page")
        .inOrder();
    assertThat(reasons(configuration, back))
        .containsExactly("service 'listing': expected one with an unfinished version move");
  }

  @Test
  void soakingMoveDoesNotReturnToRunning() {
    Change soaking = advance(1_000, VersionMove.State.SOAKING);
    Configuration configuration = configured(PUT_TEMPLATE, moveTo("v2"), soaking);

    assertThat(reasons(configuration, advance(500, VersionMove.State.RUNNING)))
        .containsExactly(
            "version move of service 'listing' state 'RUNNING': expected a state that may follow"
                + " SOAKING");
    assertThat(reasons(configuration, advance(500, VersionMove.State.FINISHED)))
        .containsExactly(
            "version move of service 'listing' share '500 per mille': expected 1000 to 1000 per"
                + " mille in state FINISHED");
  }

  @Test
  void lastTemplateOfServiceWithUnfinishedMoveIsNotRemoved() {
    assertThat(
            reasons(
                configured(PUT_TEMPLATE, moveTo("v2")), new Change.RemoveTemplate(TEMPLATE.name())))
        .containsExactly(
            "service 'listing': expected its version move to v2 to be finished before its last"
                + " template goes");
  }

  private static Change advance(int share, VersionMove.State state) {
    return new Change.AdvanceMove(LISTING, new VersionName("v2"), share, state);
  }
}
