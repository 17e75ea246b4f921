package org.waxwingbeam.caller.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection. */
final class HopByHopHeaders {
  private static final List<AsciiString> CONNECTION_HEADERS =
      List.of(
          HttpHeaderNames.CONNECTION,
          AsciiString.cached("keep-alive"),
          AsciiString.cached("proxy-connection"),
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.UPGRADE);
  private static final List<AsciiString> PROTECTED_HEADERS =
      List.of(
          HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.HOST);

  private HopByHopHeaders() {}

  /** Removes hop-by-hop headers from a request before it is sent to a target. */
  static void removeFromRequest(HttpHeaders headers) {
    removeConnectionHeaders(headers);
    headers.remove(HttpHeaderNames.EXPECT);
  }

  /** Removes hop-by-hop headers from a response before it is sent to a caller. */
  static void removeFromResponse(HttpHeaders headers) {
    removeConnectionHeaders(headers);
  }

  private static void removeConnectionHeaders(HttpHeaders headers) {
    if (headers.contains(HttpHeaderNames.CONNECTION)) {
      headers.getAll(HttpHeaderNames.CONNECTION).stream()
          .flatMap(value -> List.of(value.split(",", -1)).stream())
          .map(String::strip)
          .filter(name -> !name.isEmpty() && !isProtected(name))
          .forEach(headers::remove);
    }
    CONNECTION_HEADERS.forEach(headers::remove);
  }

  private static boolean isProtected(String name) {
    return PROTECTED_HEADERS.stream().anyMatch(each -> each.contentEqualsIgnoreCase(name));
  }
}
