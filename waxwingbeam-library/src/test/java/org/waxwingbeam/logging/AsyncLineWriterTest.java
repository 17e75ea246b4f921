package org.waxwingbeam.logging;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AsyncLineWriterTest {
  /** A stream that blocks all writes until it is released. */
  private static final class BlockedStream extends OutputStream {
    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    @Override
    public void write(int value) throws IOException {
      try {
        assertThat(released.await(20, TimeUnit.SECONDS)).isTrue();
      } catch (InterruptedException interrupted) {
        throw new IOException(interrupted);
      }
      bytes.write(value);
    }
  }

  @Test
  void blockedStreamDoesNotBlockLoggingAndDroppedLinesAreCounted() throws Exception {
    BlockedStream stream = new BlockedStream();
    try (AsyncLineWriter lines = new AsyncLineWriter(new PrintStream(stream, true, UTF_8), 10)) {
      lines.add("first");
      TimeUnit.MILLISECONDS.sleep(100);
      long start = System.nanoTime();
      for (int i = 0; i < 1_000; i++) {
        lines.add("line " + i);
      }
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(2));
      stream.released.countDown();
      TimeUnit.MILLISECONDS.sleep(300);
    }

    String text = stream.bytes.toString(UTF_8);
    assertThat(text).startsWith("first\n");
    assertThat(text).contains("line 9\n");
    assertThat(text).contains("event=log-lines-left-out lines=990\n");
  }
}
