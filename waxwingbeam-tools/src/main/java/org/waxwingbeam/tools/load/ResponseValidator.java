package org.waxwingbeam.tools.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.ByteArrayOutputStream;
import org.waxwingbeam.tools.standin.TransferBytes;

/** Checks that a response body is complete and belongs to its request. */
final class ResponseValidator {
  private static final int MAX_TEXT_BYTES = 8 * 1024;

  private final PlannedRequest request;
  private final long expectedBytes;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private long position;
  private boolean corrupted;

  ResponseValidator(PlannedRequest request) {
    this.request = request;
    QueryStringDecoder query = new QueryStringDecoder(request.kind.path());
    boolean transfer = query.parameters().containsKey("size");
    this.expectedBytes = transfer ? Long.parseLong(query.parameters().get("size").getFirst()) : -1;
  }

  void addBodyPart(ByteBuf part) {
    while (part.isReadable()) {
      byte next = part.readByte();
      if (expectedBytes >= 0) {
        corrupted |= next != TransferBytes.byteAt(position);
      } else if (position < MAX_TEXT_BYTES) {
        text.write(next);
      }
      position++;
    }
  }

  long bytes() {
    return position;
  }

  boolean isCorrect() {
    if (request.kind.method().equals("HEAD")) {
      return position == 0;
    }
    if (expectedBytes >= 0) {
      return !corrupted && position == expectedBytes;
    }
    String body = text.toString(UTF_8);
    return body.startsWith("token=" + request.token + " ")
        && body.contains(" uri=" + request.kind.path() + " ");
  }
}
