package org.waxwingbeam.tools.standin;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.util.List;
import org.waxwingbeam.target.TargetProtocol;

/** One request at a stand-in target, from its head to the end of its response. */
final class Exchange {
  final Channel channel;
  final String method;
  final String path;
  final String uri;
  final String requestId;
  final String idempotencyKey;
  final String token;
  final boolean crashesTarget;
  final long transferSize;
  final long bytesPerSecond;
  final boolean chunked;
  final long deadlineMs;
  long bodyBytes;
  long arrivedNanos;
  State state = State.READING;
  RunRecord.Run run;
  Future<?> timer;

  /** The phases of an exchange. */
  enum State {
    READING,
    WAITING,
    RUNNING,
    DONE
  }

  Exchange(Channel channel, HttpRequest request) {
    final QueryStringDecoder query = new QueryStringDecoder(request.uri());
    final HttpHeaders headers = request.headers();
    this.channel = channel;
    this.method = request.method().name();
    this.uri = request.uri();
    this.path = query.path();
    this.requestId = headers.get(TargetProtocol.REQUEST_ID_HEADER, "");
    this.idempotencyKey = headers.get(StandInHeaders.IDEMPOTENCY_KEY, "");
    this.token = headers.get(StandInHeaders.TOKEN, "");
    this.crashesTarget =
        headers.contains(StandInHeaders.CRASH) || query.parameters().containsKey("crash");
    this.transferSize = longParameter(query, "size", -1);
    this.bytesPerSecond = longParameter(query, "rate", 0);
    this.chunked = query.parameters().containsKey("chunked");
    this.deadlineMs =
        Long.parseLong(headers.get(TargetProtocol.DEADLINE_HEADER, "" + Integer.MAX_VALUE));
  }

  boolean isTransfer() {
    return transferSize >= 0 && !method.equals("HEAD");
  }

  /** Returns the body of a short response, with which the caller can validate the response. */
  String responseText() {
    return "token=%s id=%s method=%s uri=%s body=%d\n"
        .formatted(token, requestId, method, uri, bodyBytes);
  }

  private static long longParameter(QueryStringDecoder query, String name, long defaultValue) {
    return query.parameters().getOrDefault(name, List.of()).stream()
        .findFirst()
        .map(Long::parseLong)
        .orElse(defaultValue);
  }
}
