package org.waxwingbeam.operator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.waxwingbeam.operator.TestConfigurations.LISTING;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.wire.configuration.Account;
import org.waxwingbeam.wire.configuration.AccountTerms;
import org.waxwingbeam.wire.configuration.ParameterValue;

class ChangeCodecTest {
  private static final List<Change> ONE_OF_EACH =
      List.of(
          new Change.PutTemplate(TestConfigurations.TEMPLATE),
          new Change.PutAccount(TestConfigurations.ACCOUNT),
          new Change.TakeDataCentreOut(new DataCentreName("north")),
          TestConfigurations.moveTo("v2"),
          new Change.AdvanceMove(LISTING, new VersionName("v2"), 50, VersionMove.State.RUNNING),
          new Change.RollBackMove(LISTING, "slow"),
          new Change.BringDataCentreIn(new DataCentreName("north")),
          new Change.RemoveAccount(TestConfigurations.ACCOUNT.name()),
          new Change.RemoveTemplate(TestConfigurations.TEMPLATE.name()));

  @Test
  void everyChangeIsUnchangedByEncodingAndDecoding() throws MalformedMessageException {
    for (Change change : ONE_OF_EACH) {
      assertThat(ChangeCodec.decode(ChangeCodec.encode(change))).isEqualTo(change);
    }
  }

  @Test
  void everyConfigurationIsUnchangedByEncodingAndDecoding() throws MalformedMessageException {
    for (int count = 0; count <= ONE_OF_EACH.size(); count++) {
      Change[] changes = ONE_OF_EACH.subList(0, count).toArray(Change[]::new);
      Configuration configuration = TestConfigurations.configured(changes);

      assertThat(ConfigurationCodec.decode(ConfigurationCodec.encode(configuration)))
          .isEqualTo(configuration);
    }
  }

  @Test
  void malformedChangeIsReportedWithEveryFault() {
    AccountTerms terms =
        AccountTerms.newBuilder()
            .setTemplate("listing")
            .addParameters(ParameterValue.newBuilder().setKey("dead-line").setValue(1))
            .addParameters(ParameterValue.newBuilder().setKey("deadline").setValue(0))
            .build();
    Account account = Account.newBuilder().setName("Parish!").addTerms(terms).build();
    var message = org.waxwingbeam.wire.operator.Change.newBuilder().setPutAccount(account).build();

    var thrown = assertThrows(MalformedMessageException.class, () -> ChangeCodec.decode(message));

    assertThat(thrown.reasons())
        .containsExactly(
            "client account 'Parish!' template 'listing' parameter 'dead-line': expected a known"
                + " one, such as 'deadline'",
            "client account 'Parish!' template 'listing' parameter deadline '0': expected 1 to"
                + " 3600000",
            "client account name 'Parish!': expected 1 to 63 lower-case letters, digits, dots or"
                + " hyphens, starting with a letter or digit")
        .inOrder();
  }

  @Test
  void changeOfNoKindIsMalformed() {
    var message = org.waxwingbeam.wire.operator.Change.getDefaultInstance();

    var thrown = assertThrows(MalformedMessageException.class, () -> ChangeCodec.decode(message));

    assertThat(thrown).hasMessageThat().isEqualTo("change '': expected one of the kinds of change");
  }
}
