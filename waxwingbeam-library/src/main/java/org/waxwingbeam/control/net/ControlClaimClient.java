package org.waxwingbeam.control.net;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.control.ClaimClient;
import org.waxwingbeam.control.ClaimCodec;
import org.waxwingbeam.control.ClaimOutcome;
import org.waxwingbeam.control.ClaimRequest;
import org.waxwingbeam.control.ClaimResponse;

/**
 * Sends claims over the connection to the leading control replica. A command without a reply is
 * sent again until its time-out; the claim table gives the same reply to a repeated command.
 *
 * @since 0.1.0
 */
// A rescheduled task reports its result through its receiver, so its future is not needed.
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlClaimClient implements ClaimClient {
  private static final long RESEND_DELAY_MS = 50;
  private static final long ATTEMPT_TIMEOUT_MS = 500;
  private static final long OUTCOME_TIMEOUT_MS = 60_000;

  private final ControlClient control;
  private final EventLoop loop;

  /**
   * Creates a client.
   *
   * @param control the client that is connected to the leading control replica
   * @param loop schedules the repetitions
   */
  public ControlClaimClient(ControlClient control, EventLoop loop) {
    this.control = control;
    this.loop = loop;
  }

  @Override
  public void claim(ClaimRequest request, Consumer<ClaimResponse> receiver) {
    new Call(
            ClaimCodec.encode(request),
            request.timeoutMs(),
            reply ->
                receiver.accept(
                    reply
                        .map(ClaimCodec::decodeClaimReply)
                        .orElseGet(ClaimResponse.Unavailable::new)))
        .send();
  }

  @Override
  public void recordOutcome(ClaimOutcome outcome, Consumer<Boolean> receiver) {
    new Call(
            ClaimCodec.encode(outcome),
            OUTCOME_TIMEOUT_MS,
            reply -> receiver.accept(reply.map(ClaimCodec::decodeOutcomeReply).orElse(false)))
        .send();
  }

  /** One command, sent until it gets a reply or its time-out passes. */
  private final class Call {
    private final ByteString command;
    private final long deadlineNanos;
    private final Consumer<Optional<ByteString>> receiver;

    Call(ByteString command, long timeoutMs, Consumer<Optional<ByteString>> receiver) {
      this.command = command;
      this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
      this.receiver = receiver;
    }

    void send() {
      long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      if (remainingMs <= 0) {
        receiver.accept(Optional.empty());
      } else {
        control.sendClaimCommand(command, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS), this::onReply);
      }
    }

    private void onReply(Optional<ByteString> reply) {
      if (reply.isPresent()) {
        receiver.accept(reply);
      } else {
        loop.schedule(this::send, RESEND_DELAY_MS, TimeUnit.MILLISECONDS);
      }
    }
  }
}
