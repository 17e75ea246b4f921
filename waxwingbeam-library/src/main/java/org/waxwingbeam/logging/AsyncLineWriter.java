package org.waxwingbeam.logging;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines to a stream without blocking the logging thread: lines are passed through a bounded
 * queue to a writer thread. Lines that exceed the queue's capacity are dropped and counted.
 *
 * <pre>{@code
 * try (AsyncLineWriter lines = new AsyncLineWriter(System.out, 2_000)) {
 *   lines.add("event=started");
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class AsyncLineWriter implements AutoCloseable {
  /** Pause after each batch, so that many lines share one write. */
  private static final long BATCH_INTERVAL_MS = 20;

  /** Maximum wait for the last lines to be written at the end of the process. */
  private static final long CLOSE_TIMEOUT_MS = 500;

  private final BlockingQueue<String> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream stream;
  private final Thread writer;
  private volatile boolean closed;

  /**
   * Starts the writer thread.
   *
   * @param stream the stream to write to
   * @param capacity maximum number of lines in the queue
   */
  public AsyncLineWriter(PrintStream stream, int capacity) {
    this.stream = new PrintStream(stream, false, UTF_8);
    queue = new ArrayBlockingQueue<>(capacity);
    writer = Thread.ofPlatform().daemon().name("log-writer").start(this::write);
  }

  /** Adds a line to the queue, or drops and counts it if the queue is full. */
  public void add(String line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    List<String> batch = new ArrayList<>();
    try {
      while (!closed || !queue.isEmpty()) {
        batch.add(queue.take());
        queue.drainTo(batch);
        batch.forEach(stream::println);
        batch.clear();
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
          stream.println(EventLine.format("log-lines-left-out", "lines", droppedLines));
        }
        stream.flush();
        Thread.sleep(BATCH_INTERVAL_MS);
      }
    } catch (InterruptedException closing) {
      queue.drainTo(batch);
      batch.forEach(stream::println);
      stream.flush();
    }
  }

  /** Writes the queued lines, as far as the stream accepts them before the timeout. */
  @Override
  public void close() {
    closed = true;
    writer.interrupt();
    try {
      writer.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
