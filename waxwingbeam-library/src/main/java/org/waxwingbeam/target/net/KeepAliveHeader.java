package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how long a target keeps an idle connection. */
final class KeepAliveHeader {
  private static final String NAME = "keep-alive";
  private static final Pattern TIMEOUT = Pattern.compile("(?:^|[,;\\s])timeout=(\\d{1,6})");

  /** Time before the stated limit from which a connection is not used, as a request may cross. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private KeepAliveHeader() {}

  /** Returns how long the connection may be idle and still be used, if the target states it. */
  static OptionalLong idleLimitNanos(HttpHeaders headers) {
    String value = headers.get(NAME);
    Matcher parts = TIMEOUT.matcher(value == null ? "" : value);
    return parts.find()
        ? OptionalLong.of(TimeUnit.SECONDS.toNanos(Long.parseLong(parts.group(1))) - MARGIN_NANOS)
        : OptionalLong.empty();
  }
}
