package org.waxwingbeam.logging;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream without ever holding up the thread that logs: lines wait in a queue of
 * fixed size for a thread of their own, and what does not fit is left out and counted.
 *
 * <pre>{@code
 * try (BoundedLines lines = new BoundedLines(System.out, 2_000)) {
 *   lines.add("event=started");
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class AsyncLineWriter implements AutoCloseable {
  /** Pause after each batch, so that many lines share one write. */
  private static final long GATHER_MS = 20;

  /** Longest wait for the last lines at the end of the process. */
  private static final long CLOSE_MS = 500;

  private final BlockingQueue<String> waiting;
  private final AtomicLong leftOut = new AtomicLong();
  private final PrintStream stream;
  private final Thread writer;
  private volatile boolean closed;

  /**
   * Starts the thread that writes.
   *
   * @param stream where lines go
   * @param capacity lines that may wait
   */
  public AsyncLineWriter(PrintStream stream, int capacity) {
    this.stream = new PrintStream(stream, false, UTF_8);
    waiting = new ArrayBlockingQueue<>(capacity);
    writer = Thread.ofPlatform().daemon().name("log-writer").start(this::write);
  }

  /** Adds a line, or counts it as left out if too many wait. */
  public void add(String line) {
    if (!waiting.offer(line)) {
      leftOut.incrementAndGet();
    }
  }

  private void write() {
    List<String> batch = new ArrayList<>();
    try {
      while (!closed || !waiting.isEmpty()) {
        batch.add(waiting.take());
        waiting.drainTo(batch);
        batch.forEach(stream::println);
        batch.clear();
        long missing = leftOut.getAndSet(0);
        if (missing > 0) {
          stream.println(EventLine.format("log-lines-left-out", "lines", missing));
        }
        stream.flush();
        Thread.sleep(GATHER_MS);
      }
    } catch (InterruptedException ended) {
      waiting.drainTo(batch);
      batch.forEach(stream::println);
      stream.flush();
    }
  }

  /** Writes what waits, as far as the stream takes it in time. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    try {
      writer.join(CLOSE_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
