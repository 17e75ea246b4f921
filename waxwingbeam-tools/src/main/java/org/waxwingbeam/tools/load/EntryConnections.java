package org.waxwingbeam.tools.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.tools.Futures;
import org.waxwingbeam.tools.load.RequestOutcome.Kind;

/** One driver's pool of connections to one entry instance, each with one exchange at a time. */
final class EntryConnections {
  private final LoadDriver driver;
  private final LoadPlan plan;
  private final Endpoint endpoint;
  private final Deque<ExchangeHandler> idle = new ArrayDeque<>();
  private final Deque<PlannedRequest> waiting = new ArrayDeque<>();
  private final Set<Channel> openChannels = new HashSet<>();
  private final Map<PlannedRequest, ExchangeHandler> inFlight = new HashMap<>();
  private int connecting;

  EntryConnections(LoadDriver driver, LoadPlan plan, Endpoint endpoint) {
    this.driver = driver;
    this.plan = plan;
    this.endpoint = endpoint;
  }

  /** Sends a request on an idle connection, or queues it until there is one. */
  void send(PlannedRequest request) {
    waiting.add(request);
    sendWaiting();
  }

  /** Ends a request as timed out and closes its connection, where a late response could arrive. */
  void timeOut(PlannedRequest request) {
    waiting.remove(request);
    driver.endRequestWithoutResponse(request, Kind.TIMED_OUT);
    ExchangeHandler handler = inFlight.remove(request);
    if (handler != null) {
      Futures.ignore(handler.channel().close());
    }
  }

  void onRequestEnded(PlannedRequest request, ResponseSummary response) {
    inFlight.remove(request);
    driver.endRequest(request, response);
  }

  void onIdle(ExchangeHandler handler) {
    idle.push(handler);
    sendWaiting();
  }

  void onClosed(ExchangeHandler handler) {
    idle.remove(handler);
    openChannels.remove(handler.channel());
    sendWaiting();
  }

  void close() {
    List.copyOf(openChannels).forEach(channel -> Futures.ignore(channel.close()));
  }

  private void sendWaiting() {
    while (!waiting.isEmpty() && !idle.isEmpty()) {
      ExchangeHandler handler = idle.pop();
      PlannedRequest request = waiting.remove();
      inFlight.put(request, handler);
      handler.send(request);
    }
    while (waiting.size() > connecting && openChannels.size() + connecting < plan.connections()) {
      connect();
    }
  }

  private void connect() {
    connecting++;
    ExchangeHandler handler = new ExchangeHandler(this, plan);
    ChannelFuture connected = bootstrap(handler).connect(endpoint.socketAddress());
    Futures.ignore(
        connected.addListener(
            done -> {
              connecting--;
              if (done.isSuccess()) {
                openChannels.add(connected.channel());
                onIdle(handler);
              } else {
                onConnectFailure();
              }
            }));
  }

  private void onConnectFailure() {
    PlannedRequest first = waiting.poll();
    if (first != null) {
      driver.endRequestWithoutResponse(first, Kind.CONNECT_FAILED);
    }
  }

  private Bootstrap bootstrap(ExchangeHandler handler) {
    return new Bootstrap()
        .group(driver.loop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) plan.timeoutMs())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpClientCodec()).addLast(handler);
              }
            });
  }
}
