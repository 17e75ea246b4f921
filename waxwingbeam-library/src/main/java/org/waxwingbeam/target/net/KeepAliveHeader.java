package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the header in which a target states how long it keeps an idle connection open. */
final class KeepAliveHeader {
  private static final String NAME = "keep-alive";
  private static final Pattern TIMEOUT = Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})");

  /**
   * Time before the stated limit from which a connection is not used, because the target might
   * close it while a request is in transit.
   */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private KeepAliveHeader() {}

  /**
   * Returns the idle time up to which the connection may be reused, if the target states a limit.
   */
  static OptionalLong idleLimitNanos(HttpHeaders headers) {
    String value = headers.get(NAME);
    Matcher parts = TIMEOUT.matcher(value == null ? "" : value);
    return parts.find()
        ? OptionalLong.of(TimeUnit.SECONDS.toNanos(Long.parseLong(parts.group(1))) - MARGIN_NANOS)
        : OptionalLong.empty();
  }
}
