package org.waxwingbeam.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HexFormat;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.wire.claims.Claim;
import org.waxwingbeam.wire.claims.ClaimCommand;
import org.waxwingbeam.wire.claims.ClaimHolder;
import org.waxwingbeam.wire.claims.ClaimReply;
import org.waxwingbeam.wire.claims.EntryGone;
import org.waxwingbeam.wire.claims.KeptAnswer;
import org.waxwingbeam.wire.claims.Settle;

/**
 * Encodes the commands of the claim table and decodes its replies.
 *
 * @since 0.1.0
 */
public final class ClaimCodec {
  private ClaimCodec() {}

  /** Encodes a claim of an idempotency key. */
  public static ByteString encode(ClaimRequest request) {
    Claim claim =
        Claim.newBuilder()
            .setAccount(request.account().value())
            .setKey(request.key())
            .setDigest(ByteString.copyFrom(HexFormat.of().parseHex(request.digest())))
            .setHolder(holder(request.entry(), request.attempt()))
            .setRetentionMs(request.retentionMs())
            .setRunningMs(request.runningMs())
            .build();
    return ClaimCommand.newBuilder().setClaim(claim).build().toByteString();
  }

  /** Encodes the outcome of a claimed request. */
  public static ByteString encode(ClaimOutcome outcome) {
    Settle.Builder settle =
        Settle.newBuilder()
            .setAccount(outcome.account().value())
            .setKey(outcome.key())
            .setHolder(holder(outcome.entry(), outcome.attempt()))
            .setResult(result(outcome.result()));
    outcome.response().map(ClaimCodec::encodeResponse).ifPresent(settle::setAnswer);
    return ClaimCommand.newBuilder().setSettle(settle).build().toByteString();
  }

  /**
   * Encodes that the lease of an entry instance has expired, so that the outcomes of its running
   * claims are unknown.
   *
   * @param entry the entry instance
   */
  public static ByteString encodeEntryGone(InstanceName entry) {
    EntryGone gone = EntryGone.newBuilder().setEntry(entry.value()).build();
    return ClaimCommand.newBuilder().setEntryGone(gone).build().toByteString();
  }

  private static ClaimHolder holder(InstanceName entry, long attempt) {
    return ClaimHolder.newBuilder().setEntry(entry.value()).setAttempt(attempt).build();
  }

  private static Settle.Result result(ClaimOutcome.Result result) {
    return switch (result) {
      case RAN -> Settle.Result.RAN;
      case DID_NOT_RUN -> Settle.Result.DID_NOT_RUN;
      case UNKNOWN -> Settle.Result.UNKNOWN;
    };
  }

  private static KeptAnswer encodeResponse(RecordedResponse response) {
    return KeptAnswer.newBuilder()
        .setStatus(response.status())
        .setContentType(response.contentType())
        .setBody(response.body())
        .build();
  }

  /**
   * Decodes the reply to a claim. A malformed reply counts as {@link ClaimResponse.Unavailable}.
   */
  public static ClaimResponse decodeClaimReply(ByteString reply) {
    ClaimReply read = parse(reply);
    return switch (read.getResult()) {
      case GRANTED -> new ClaimResponse.Granted();
      case RECORDED -> new ClaimResponse.Recorded(decodeResponse(read.getAnswer()));
      case ALREADY_RUNNING -> new ClaimResponse.AlreadyRunning();
      case ALREADY_RUN -> new ClaimResponse.AlreadyRun();
      case OUTCOME_UNKNOWN -> new ClaimResponse.OutcomeUnknown();
      case KEY_REUSED -> new ClaimResponse.KeyReused();
      default -> new ClaimResponse.Unavailable();
    };
  }

  /** Decodes the reply to a reported outcome and returns whether the table has recorded it. */
  public static boolean decodeOutcomeReply(ByteString reply) {
    return parse(reply).getResult() == ClaimReply.Result.NOTED;
  }

  private static ClaimReply parse(ByteString reply) {
    try {
      return ClaimReply.parseFrom(reply);
    } catch (InvalidProtocolBufferException malformed) {
      return ClaimReply.getDefaultInstance();
    }
  }

  private static RecordedResponse decodeResponse(KeptAnswer response) {
    return new RecordedResponse(
        response.getStatus(), response.getContentType(), response.getBody());
  }
}
