package org.waxwingbeam.target.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.ProbeResult;

/**
 * Sends status checks to targets over the connections that requests use.
 *
 * <p>All methods must be called on its event loop.
 *
 * <pre>{@code
 * prober.probe(request, limit, result -> dispatcher.completeProbe(now, request, result));
 * }</pre>
 *
 * @since 0.1.0
 */
// Nothing needs the future of the timer.
@SuppressWarnings("FutureReturnValueIgnored")
public final class TargetProber {
  /** Time after which a response would be too old to be of use. */
  private static final long TIMEOUT_MS = 250;

  private final TargetConnections connections;
  private final TargetAdapter adapter;
  private final EventLoop loop;

  /**
   * Creates a prober.
   *
   * @param connections the connections that requests use
   * @param adapter adapter for the protocol of the targets
   * @param loop event loop for timers and connections
   */
  public TargetProber(TargetConnections connections, TargetAdapter adapter, EventLoop loop) {
    this.connections = connections;
    this.adapter = adapter;
    this.loop = loop;
  }

  /**
   * Sends one status check.
   *
   * @param request the target and path to check
   * @param connectionLimit maximum number of connections of this process to the target
   * @param receiver called once with the result
   */
  public void probe(ProbeRequest request, int connectionLimit, Consumer<ProbeResult> receiver) {
    StatusCheck check = new StatusCheck(request, receiver);
    loop.schedule(check::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    connections.acquire(
        request.target(), Optional.empty(), connectionLimit, loop, check::onConnection);
  }

  private static HttpRequest head(ProbeRequest request) {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, request.path());
    head.headers().set(HttpHeaderNames.HOST, request.target().toString());
    return head;
  }

  /** One status check. */
  private final class StatusCheck implements ResponseReceiver {
    private final ProbeRequest request;
    private final Consumer<ProbeResult> receiver;
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<ProbeResult> result = Optional.empty();
    private boolean ended;

    StatusCheck(ProbeRequest request, Consumer<ProbeResult> receiver) {
      this.request = request;
      this.receiver = receiver;
    }

    void onConnection(Optional<TargetConnection> found) {
      if (ended) {
        found.ifPresent(connections::release);
      } else if (found.isEmpty()) {
        end(new ProbeResult.Unreachable());
      } else {
        connection = found;
        found.get().sendStatusCheck(head(request), this);
      }
    }

    void onTimeout() {
      if (!ended) {
        connection.ifPresent(TargetConnection::abort);
        end(new ProbeResult.Unanswered());
      }
    }

    private void end(ProbeResult finalResult) {
      ended = true;
      receiver.accept(finalResult);
    }

    @Override
    public void onHead(HttpResponse head) {
      TargetAdapter.HealthReport report = adapter.healthReport(head.headers());
      result =
          Optional.of(
              new ProbeResult.Answered(
                  report.instanceId(), report.load(), report.coldLeftMs(), adapter.notice(head)));
    }

    @Override
    public void onContent(HttpContent content) {
      content.release();
    }

    @Override
    public void onReadComplete() {}

    @Override
    public void onComplete() {
      if (!ended) {
        end(result.orElseGet(ProbeResult.Unanswered::new));
      }
    }

    @Override
    public void onFailed(ExchangeFailure failure) {
      if (!ended) {
        end(new ProbeResult.Unanswered());
      }
    }

    @Override
    public void onWritabilityChanged() {}
  }
}
