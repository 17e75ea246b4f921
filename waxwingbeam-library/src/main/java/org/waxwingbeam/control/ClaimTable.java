package org.waxwingbeam.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.waxwingbeam.replica.ClaimStateMachine;
import org.waxwingbeam.wire.claims.Claim;
import org.waxwingbeam.wire.claims.ClaimCommand;
import org.waxwingbeam.wire.claims.ClaimRecord;
import org.waxwingbeam.wire.claims.ClaimRecord.State;
import org.waxwingbeam.wire.claims.ClaimReply;
import org.waxwingbeam.wire.claims.ClaimReply.Result;
import org.waxwingbeam.wire.claims.ClaimSnapshot;
import org.waxwingbeam.wire.claims.EntryGone;
import org.waxwingbeam.wire.claims.Settle;

/**
 * The replicated table of claimed idempotency keys and the outcomes of their requests, by which a
 * request with a key runs at most once, whichever entry instance receives it.
 *
 * <p>A claim on a key is granted once. Until the retention time after the request's end has passed,
 * further claims get the state or the outcome of that request. If the holder of a claim does not
 * report an outcome in time, the request may have run, and its outcome is unknown. A key is
 * released earlier only if its holder reports that the request certainly did not run.
 *
 * <p>The time is taken from the commands, so that every replica decides alike.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable();
 * ByteString reply = table.apply(ClaimCodec.encode(request), nowMs);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ClaimTable implements ClaimStateMachine {
  private static final Comparator<ExpiryKey> BY_EXPIRY =
      Comparator.comparingLong(ExpiryKey::expiryMs)
          .thenComparing(ExpiryKey::account)
          .thenComparing(ExpiryKey::key);

  private final Map<ClaimKey, ClaimRecord> records = new HashMap<>();
  private final TreeSet<ExpiryKey> expiries = new TreeSet<>(BY_EXPIRY);
  private long clockMs;

  @Override
  public ByteString apply(ByteString command, long nowMs) {
    clockMs = Math.max(clockMs, nowMs);
    evict();
    try {
      return reply(ClaimCommand.parseFrom(command)).toByteString();
    } catch (InvalidProtocolBufferException malformed) {
      return result(Result.MALFORMED).toByteString();
    }
  }

  private ClaimReply reply(ClaimCommand command) {
    return switch (command.getKindCase()) {
      case CLAIM -> handleClaim(command.getClaim());
      case SETTLE -> recordOutcome(command.getSettle());
      case ENTRY_GONE -> handleEntryGone(command.getEntryGone());
      case KIND_NOT_SET -> result(Result.MALFORMED);
    };
  }

  private static ClaimReply result(Result result) {
    return ClaimReply.newBuilder().setResult(result).build();
  }

  private ClaimReply handleClaim(Claim claim) {
    ClaimKey claimKey = new ClaimKey(claim.getAccount(), claim.getKey());
    ClaimRecord existing = records.get(claimKey);
    if (existing == null) {
      put(claimKey, newRecord(claim));
      return result(Result.GRANTED);
    }
    if (!existing.getDigest().equals(claim.getDigest())) {
      return result(Result.KEY_REUSED);
    }
    return switch (existing.getState()) {
      case RUNNING -> replyWhileRunning(existing, claim);
      case RAN -> replyAfterRun(existing);
      default -> result(Result.OUTCOME_UNKNOWN);
    };
  }

  private ClaimRecord newRecord(Claim claim) {
    long untilMs = clockMs + claim.getRunningMs();
    return ClaimRecord.newBuilder()
        .setAccount(claim.getAccount())
        .setKey(claim.getKey())
        .setDigest(claim.getDigest())
        .setHolder(claim.getHolder())
        .setState(State.RUNNING)
        .setRunningUntilMs(untilMs)
        .setRetentionMs(claim.getRetentionMs())
        .setExpiryMs(untilMs + claim.getRetentionMs())
        .build();
  }

  private ClaimReply replyWhileRunning(ClaimRecord existing, Claim claim) {
    if (existing.getHolder().equals(claim.getHolder())) {
      return result(Result.GRANTED);
    }
    boolean lost = clockMs >= existing.getRunningUntilMs();
    return result(lost ? Result.OUTCOME_UNKNOWN : Result.ALREADY_RUNNING);
  }

  private static ClaimReply replyAfterRun(ClaimRecord existing) {
    return existing.hasAnswer()
        ? ClaimReply.newBuilder().setResult(Result.RECORDED).setAnswer(existing.getAnswer()).build()
        : result(Result.ALREADY_RUN);
  }

  private ClaimReply recordOutcome(Settle settle) {
    ClaimKey claimKey = new ClaimKey(settle.getAccount(), settle.getKey());
    ClaimRecord existing = records.get(claimKey);
    if (existing == null || !existing.getHolder().equals(settle.getHolder())) {
      return result(Result.NOT_HELD);
    }
    switch (settle.getResult()) {
      case DID_NOT_RUN -> release(claimKey, existing);
      case RAN -> put(claimKey, withOutcome(existing, State.RAN, settle));
      default -> put(claimKey, withOutcome(existing, State.UNKNOWN, settle));
    }
    return result(Result.NOTED);
  }

  /** Releases a key unless it was reported earlier that its request ran. */
  private void release(ClaimKey claimKey, ClaimRecord existing) {
    if (existing.getState() != State.RAN) {
      remove(claimKey);
    }
  }

  private ClaimRecord withOutcome(ClaimRecord existing, State state, Settle settle) {
    if (existing.getState() == State.RAN) {
      return existing;
    }
    ClaimRecord.Builder record =
        existing.toBuilder().setState(state).setExpiryMs(clockMs + existing.getRetentionMs());
    if (state == State.RAN && settle.hasAnswer()) {
      record.setAnswer(settle.getAnswer());
    }
    return record.build();
  }

  private ClaimReply handleEntryGone(EntryGone gone) {
    List<ClaimRecord> lost =
        records.values().stream()
            .filter(each -> each.getState() == State.RUNNING)
            .filter(each -> each.getHolder().getEntry().equals(gone.getEntry()))
            .filter(each -> isBefore(each.getHolder().getAttempt(), gone.getBeforeAttempt()))
            .toList();
    lost.forEach(
        each ->
            put(
                new ClaimKey(each.getAccount(), each.getKey()),
                withOutcome(each, State.UNKNOWN, Settle.getDefaultInstance())));
    return result(Result.NOTED);
  }

  private static boolean isBefore(long attempt, long limit) {
    return limit == 0 || Long.compareUnsigned(attempt, limit) < 0;
  }

  private void evict() {
    while (!expiries.isEmpty() && expiries.first().expiryMs() <= clockMs) {
      ExpiryKey due = expiries.pollFirst();
      records.remove(new ClaimKey(due.account(), due.key()));
    }
  }

  private void put(ClaimKey claimKey, ClaimRecord record) {
    remove(claimKey);
    records.put(claimKey, record);
    expiries.add(ExpiryKey.of(record));
  }

  private void remove(ClaimKey claimKey) {
    ClaimRecord before = records.remove(claimKey);
    if (before != null) {
      expiries.remove(ExpiryKey.of(before));
    }
  }

  /** Returns the number of claimed keys in the table. */
  public int size() {
    return records.size();
  }

  @Override
  public ByteString snapshot() {
    ClaimSnapshot.Builder snapshot = ClaimSnapshot.newBuilder().setClockMs(clockMs);
    expiries.forEach(
        expiry -> snapshot.addRecords(records.get(new ClaimKey(expiry.account(), expiry.key()))));
    return snapshot.build().toByteString();
  }

  @Override
  public void restore(ByteString snapshot) {
    ClaimSnapshot read;
    try {
      read = ClaimSnapshot.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException malformed) {
      throw new IllegalArgumentException(
          "snapshot of the claim table is not a ClaimSnapshot message", malformed);
    }
    records.clear();
    expiries.clear();
    clockMs = read.getClockMs();
    read.getRecordsList()
        .forEach(each -> put(new ClaimKey(each.getAccount(), each.getKey()), each));
  }

  /** Identifies a claim; keys of different client accounts are unrelated. */
  private record ClaimKey(String account, String key) {}

  /** Orders records by expiry time. */
  private record ExpiryKey(long expiryMs, String account, String key) {
    static ExpiryKey of(ClaimRecord record) {
      return new ExpiryKey(record.getExpiryMs(), record.getAccount(), record.getKey());
    }
  }
}
