package org.waxwingbeam.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.InstanceName;

class ClaimTableTest {
  private static final RecordedResponse DONE =
      new RecordedResponse(201, "text/plain", ByteString.copyFromUtf8("order 7"));

  private static final List<ClaimOutcome.Result> RESULTS =
      List.of(
          ClaimOutcome.Result.RAN, ClaimOutcome.Result.DID_NOT_RUN, ClaimOutcome.Result.UNKNOWN);

  private final ClaimTable table = new ClaimTable();

  @Test
  void keyIsGrantedOnceWhileItsRequestRuns() {
    assertThat(claim(0, "bar", "k", "aa", "e1", 1)).isEqualTo(new ClaimResponse.Granted());
    assertThat(claim(1, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.AlreadyRunning());
    assertThat(claim(1, "bar", "k", "aa", "e1", 2)).isEqualTo(new ClaimResponse.AlreadyRunning());
  }

  @Test
  void sameClaimSentAgainGetsSameResponse() {
    assertThat(claim(0, "bar", "k", "aa", "e1", 1)).isEqualTo(new ClaimResponse.Granted());
    assertThat(claim(5, "bar", "k", "aa", "e1", 1)).isEqualTo(new ClaimResponse.Granted());
  }

  @Test
  void keysOfAccountsAreUnrelated() {
    claim(0, "bar", "k", "aa", "e1", 1);

    assertThat(claim(0, "shop", "k", "bb", "e1", 2)).isEqualTo(new ClaimResponse.Granted());
  }

  @Test
  void keyWithAnotherBodyIsRefused() {
    claim(0, "bar", "k", "aa", "e1", 1);

    assertThat(claim(1, "bar", "k", "bb", "e2", 1)).isEqualTo(new ClaimResponse.KeyReused());
  }

  @Test
  void keptResponseIsReplayed() {
    claim(0, "bar", "k", "aa", "e1", 1);
    recordOutcome(1, "bar", "k", "e1", 1, ClaimOutcome.Result.RAN, Optional.of(DONE));

    assertThat(claim(2, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.Recorded(DONE));
  }

  @Test
  void responseThatWasNotKeptStillCountsAsRun() {
    claim(0, "bar", "k", "aa", "e1", 1);
    recordOutcome(1, "bar", "k", "e1", 1, ClaimOutcome.Result.RAN, Optional.empty());

    assertThat(claim(2, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.AlreadyRun());
  }

  @Test
  void keyIsFreeAgainIfItsRequestDidNotRun() {
    claim(0, "bar", "k", "aa", "e1", 1);
    recordOutcome(1, "bar", "k", "e1", 1, ClaimOutcome.Result.DID_NOT_RUN, Optional.empty());

    assertThat(claim(2, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.Granted());
  }

  @Test
  void onlyHolderRecordsOutcome() {
    claim(0, "bar", "k", "aa", "e1", 2);

    assertThat(
            recordOutcome(
                1, "bar", "k", "e1", 1, ClaimOutcome.Result.DID_NOT_RUN, Optional.empty()))
        .isFalse();
    assertThat(claim(2, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.AlreadyRunning());
  }

  @Test
  void lateDidNotRunReportDoesNotReleaseKeyOfRequestThatRan() {
    claim(0, "bar", "k", "aa", "e1", 1);
    recordOutcome(1, "bar", "k", "e1", 1, ClaimOutcome.Result.RAN, Optional.empty());
    recordOutcome(2, "bar", "k", "e1", 1, ClaimOutcome.Result.DID_NOT_RUN, Optional.empty());

    assertThat(claim(3, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.AlreadyRun());
  }

  @Test
  void outcomeIsUnknownAfterItsEntryInstanceIsGone() {
    claim(0, "bar", "k", "aa", "e1", 1);
    claim(0, "bar", "other", "aa", "e2", 1);
    table.apply(ClaimCodec.encodeEntryGone(new InstanceName("e1")), 1);

    assertThat(claim(2, "bar", "k", "aa", "e2", 2)).isEqualTo(new ClaimResponse.OutcomeUnknown());
    assertThat(claim(2, "bar", "other", "aa", "e3", 1))
        .isEqualTo(new ClaimResponse.AlreadyRunning());
  }

  @Test
  void outcomeIsUnknownOnceTheRequestMayNoLongerRun() {
    claim(0, "bar", "k", "aa", "e1", 1);

    assertThat(claim(10_000, "bar", "k", "aa", "e2", 1))
        .isEqualTo(new ClaimResponse.OutcomeUnknown());
  }

  @Test
  void outcomeIsEvictedAfterItsRetention() {
    claim(0, "bar", "k", "aa", "e1", 1);
    recordOutcome(1_000, "bar", "k", "e1", 1, ClaimOutcome.Result.RAN, Optional.of(DONE));

    assertThat(claim(60_999, "bar", "k", "aa", "e2", 1))
        .isEqualTo(new ClaimResponse.Recorded(DONE));
    assertThat(claim(61_000, "bar", "k", "bb", "e2", 2)).isEqualTo(new ClaimResponse.Granted());
  }

  @Test
  void clockNeverGoesBack() {
    claim(0, "bar", "k", "aa", "e1", 1);
    claim(20_000, "bar", "late", "aa", "e1", 2);

    assertThat(claim(1, "bar", "k", "aa", "e2", 1)).isEqualTo(new ClaimResponse.OutcomeUnknown());
  }

  @Test
  void restoredTableGivesTheSameResponsesAsTheOriginal() {
    SplittableRandom random = new SplittableRandom(11);
    List<ByteString> commands = new ArrayList<>();
    for (int i = 0; i < 400; i++) {
      commands.add(randomCommand(random));
    }
    ClaimTable restored = new ClaimTable();
    for (int i = 0; i < commands.size(); i++) {
      if (i % 50 == 0) {
        restored.restore(table.snapshot());
      }
      long nowMs = i * 500L;
      assertThat(restored.apply(commands.get(i), nowMs))
          .isEqualTo(table.apply(commands.get(i), nowMs));
    }
    assertThat(restored.snapshot()).isEqualTo(table.snapshot());
  }

  private static ByteString randomCommand(SplittableRandom random) {
    AccountName account = new AccountName("a" + random.nextInt(2));
    String key = "k" + random.nextInt(6);
    InstanceName entry = new InstanceName("e" + random.nextInt(3));
    long attempt = random.nextInt(4);
    if (random.nextInt(3) > 0) {
      String digest = random.nextInt(5) == 0 ? "bb" : "aa";
      return ClaimCodec.encode(
          new ClaimRequest(account, key, digest, entry, attempt, 60_000, 10_000, 1_000));
    }
    ClaimOutcome.Result result = RESULTS.get(random.nextInt(RESULTS.size()));
    return ClaimCodec.encode(
        new ClaimOutcome(account, key, entry, attempt, result, Optional.of(DONE)));
  }

  private ClaimResponse claim(
      long nowMs, String account, String key, String digest, String entry, long attempt) {
    ClaimRequest request =
        new ClaimRequest(
            new AccountName(account),
            key,
            digest,
            new InstanceName(entry),
            attempt,
            60_000,
            10_000,
            1_000);
    return ClaimCodec.decodeClaimReply(table.apply(ClaimCodec.encode(request), nowMs));
  }

  private boolean recordOutcome(
      long nowMs,
      String account,
      String key,
      String entry,
      long attempt,
      ClaimOutcome.Result result,
      Optional<RecordedResponse> response) {
    ClaimOutcome outcome =
        new ClaimOutcome(
            new AccountName(account), key, new InstanceName(entry), attempt, result, response);
    return ClaimCodec.decodeOutcomeReply(table.apply(ClaimCodec.encode(outcome), nowMs));
  }
}
