import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The record of a case: what was sent, answered and run, with the time since its start. */
final class Record implements AutoCloseable {
  private final PrintWriter writer;
  private final long startNanos = System.nanoTime();

  /** Creates the file, which replaces an earlier one. */
  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start of the case, in milliseconds. */
  long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Writes a line. */
  synchronized void line(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    writer.printf(Locale.ROOT, "%8.3f %s%n", nowMs() / 1e3, text);
    writer.flush();
  }

  @Override
  public void close() {
    writer.close();
  }
}
