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
 * Carries claims over the connection to the leading control replica. A command whose answer was
 * lost is sent again, which the claim table answers alike, until its time is up.
 *
 * @since 0.1.0
 */
// A task that is scheduled again reports through its receiver.
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlClaimClient implements ClaimClient {
  private static final long RESEND_DELAY_MS = 50;
  private static final long ATTEMPT_TIMEOUT_MS = 500;
  private static final long SETTLE_TIMEOUT_MS = 60_000;

  private final ControlClient control;
  private final EventLoop loop;

  /**
   * Creates a client.
   *
   * @param control the connection to the control replicas
   * @param loop waits between attempts
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
  public void recordOutcome(ClaimOutcome settlement, Consumer<Boolean> receiver) {
    new Call(
            ClaimCodec.encode(settlement),
            SETTLE_TIMEOUT_MS,
            reply -> receiver.accept(reply.map(ClaimCodec::decodeOutcomeReply).orElse(false)))
        .send();
  }

  /** One command, sent until it is answered or its time is up. */
  private final class Call {
    private final ByteString command;
    private final long untilNanos;
    private final Consumer<Optional<ByteString>> receiver;

    Call(ByteString command, long timeoutMs, Consumer<Optional<ByteString>> receiver) {
      this.command = command;
      this.untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
      this.receiver = receiver;
    }

    void send() {
      long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
      if (leftMs <= 0) {
        receiver.accept(Optional.empty());
      } else {
        control.sendClaimCommand(command, Math.min(leftMs, ATTEMPT_TIMEOUT_MS), this::onReply);
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
