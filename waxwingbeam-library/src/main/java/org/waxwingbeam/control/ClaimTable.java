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
 * Remembers which idempotency keys have been claimed and how their requests ended, so that a keyed
 * request runs at most once whichever entry instance it is sent to.
 *
 * <p>A claim is granted once. While its request runs, and for the retention time after it has
 * ended, the key gives the outcome again. A claim whose holder reports nothing in time counts as
 * lost: its request may have run. Only a holder that reports that the request surely did not run
 * frees its key.
 *
 * <p>All times come with the commands, so that every replica decides alike.
 *
 * <pre>{@code
 * ClaimTable table = new ClaimTable();
 * ByteString reply = table.apply(ClaimCodec.encode(request), nowMs);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class ClaimTable implements ClaimStateMachine {
  private static final Comparator<Slot> BY_EXPIRY =
      Comparator.comparingLong(Slot::expiryMs)
          .thenComparing(Slot::account)
          .thenComparing(Slot::key);

  private final Map<Name, ClaimRecord> records = new HashMap<>();
  private final TreeSet<Slot> expiries = new TreeSet<>(BY_EXPIRY);
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
      case CLAIM -> claim(command.getClaim());
      case SETTLE -> settle(command.getSettle());
      case ENTRY_GONE -> entryGone(command.getEntryGone());
      case KIND_NOT_SET -> result(Result.MALFORMED);
    };
  }

  private static ClaimReply result(Result result) {
    return ClaimReply.newBuilder().setResult(result).build();
  }

  private ClaimReply claim(Claim claim) {
    Name name = new Name(claim.getAccount(), claim.getKey());
    ClaimRecord known = records.get(name);
    if (known == null) {
      put(name, granted(claim));
      return result(Result.GRANTED);
    }
    if (!known.getDigest().equals(claim.getDigest())) {
      return result(Result.KEY_REUSED);
    }
    return switch (known.getState()) {
      case RUNNING -> running(known, claim);
      case RAN -> ran(known);
      default -> result(Result.OUTCOME_UNKNOWN);
    };
  }

  private ClaimRecord granted(Claim claim) {
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

  private ClaimReply running(ClaimRecord known, Claim claim) {
    if (known.getHolder().equals(claim.getHolder())) {
      return result(Result.GRANTED);
    }
    boolean lost = clockMs >= known.getRunningUntilMs();
    return result(lost ? Result.OUTCOME_UNKNOWN : Result.ALREADY_RUNNING);
  }

  private static ClaimReply ran(ClaimRecord known) {
    return known.hasAnswer()
        ? ClaimReply.newBuilder().setResult(Result.RECORDED).setAnswer(known.getAnswer()).build()
        : result(Result.ALREADY_RUN);
  }

  private ClaimReply settle(Settle settle) {
    Name name = new Name(settle.getAccount(), settle.getKey());
    ClaimRecord known = records.get(name);
    if (known == null || !known.getHolder().equals(settle.getHolder())) {
      return result(Result.NOT_HELD);
    }
    switch (settle.getResult()) {
      case DID_NOT_RUN -> free(name, known);
      case RAN -> put(name, settled(known, State.RAN, settle));
      default -> put(name, settled(known, State.UNKNOWN, settle));
    }
    return result(Result.NOTED);
  }

  /** Frees a key unless an earlier report says that its request ran. */
  private void free(Name name, ClaimRecord known) {
    if (known.getState() != State.RAN) {
      remove(name);
    }
  }

  private ClaimRecord settled(ClaimRecord known, State state, Settle settle) {
    if (known.getState() == State.RAN) {
      return known;
    }
    ClaimRecord.Builder record =
        known.toBuilder().setState(state).setExpiryMs(clockMs + known.getRetentionMs());
    if (state == State.RAN && settle.hasAnswer()) {
      record.setAnswer(settle.getAnswer());
    }
    return record.build();
  }

  private ClaimReply entryGone(EntryGone gone) {
    List<ClaimRecord> lost =
        records.values().stream()
            .filter(each -> each.getState() == State.RUNNING)
            .filter(each -> each.getHolder().getEntry().equals(gone.getEntry()))
            .filter(each -> isBefore(each.getHolder().getAttempt(), gone.getBeforeAttempt()))
            .toList();
    lost.forEach(
        each ->
            put(
                new Name(each.getAccount(), each.getKey()),
                settled(each, State.UNKNOWN, Settle.getDefaultInstance())));
    return result(Result.NOTED);
  }

  private static boolean isBefore(long attempt, long limit) {
    return limit == 0 || Long.compareUnsigned(attempt, limit) < 0;
  }

  private void evict() {
    while (!expiries.isEmpty() && expiries.first().expiryMs() <= clockMs) {
      Slot due = expiries.pollFirst();
      records.remove(new Name(due.account(), due.key()));
    }
  }

  private void put(Name name, ClaimRecord record) {
    remove(name);
    records.put(name, record);
    expiries.add(Slot.of(record));
  }

  private void remove(Name name) {
    ClaimRecord before = records.remove(name);
    if (before != null) {
      expiries.remove(Slot.of(before));
    }
  }

  /** Returns the number of keys that are remembered. */
  public int size() {
    return records.size();
  }

  @Override
  public ByteString snapshot() {
    ClaimSnapshot.Builder snapshot = ClaimSnapshot.newBuilder().setClockMs(clockMs);
    expiries.forEach(
        slot -> snapshot.addRecords(records.get(new Name(slot.account(), slot.key()))));
    return snapshot.build().toByteString();
  }

  @Override
  public void restore(ByteString snapshot) {
    ClaimSnapshot read;
    try {
      read = ClaimSnapshot.parseFrom(snapshot);
    } catch (InvalidProtocolBufferException malformed) {
      throw new IllegalArgumentException("the snapshot of the claim table is damaged", malformed);
    }
    records.clear();
    expiries.clear();
    clockMs = read.getClockMs();
    read.getRecordsList().forEach(each -> put(new Name(each.getAccount(), each.getKey()), each));
  }

  /** The name of a claim: keys of different client accounts are unrelated. */
  private record Name(String account, String key) {}

  /** The place of a record in the order of expiry. */
  private record Slot(long expiryMs, String account, String key) {
    static Slot of(ClaimRecord record) {
      return new Slot(record.getExpiryMs(), record.getAccount(), record.getKey());
    }
  }
}
