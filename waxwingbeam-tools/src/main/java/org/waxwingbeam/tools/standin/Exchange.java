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
  final String id;
  final String key;
  final String token;
  final boolean crashes;
  final long size;
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
    this.id = headers.get(TargetProtocol.REQUEST_ID_HEADER, "");
    this.key = headers.get(StandInHeaders.IDEMPOTENCY_KEY, "");
    this.token = headers.get(StandInHeaders.TOKEN, "");
    this.crashes =
        headers.contains(StandInHeaders.CRASH) || query.parameters().containsKey("crash");
    this.size = number(query, "size", -1);
    this.bytesPerSecond = number(query, "rate", 0);
    this.chunked = query.parameters().containsKey("chunked");
    this.deadlineMs =
        Long.parseLong(headers.get(TargetProtocol.DEADLINE_HEADER, "" + Integer.MAX_VALUE));
  }

  boolean isTransfer() {
    return size >= 0 && !method.equals("HEAD");
  }

  /** Returns the body of a short response, with which the caller can validate the response. */
  String text() {
    return "token=%s id=%s method=%s uri=%s body=%d\n".formatted(token, id, method, uri, bodyBytes);
  }

  private static long number(QueryStringDecoder query, String name, long otherwise) {
    return query.parameters().getOrDefault(name, List.of()).stream()
        .findFirst()
        .map(Long::parseLong)
        .orElse(otherwise);
  }
}
