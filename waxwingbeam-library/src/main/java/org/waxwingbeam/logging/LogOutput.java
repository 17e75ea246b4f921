package org.waxwingbeam.logging;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes the log of this process to one stream, in the format {@code time=... level=... logger=...
 * event=...}.
 *
 * <pre>{@code
 * LogOutput.install(System.err, LogLevel.INFO);
 * }</pre>
 *
 * @since 0.1.0
 */
public final class LogOutput {
  private static final Logger ROOT = Logger.getLogger("");
  private static final String OWN_PACKAGES = "org.waxwingbeam";
  private static final Logger OWN = Logger.getLogger(OWN_PACKAGES);

  private LogOutput() {}

  /**
   * Replaces all log handlers of the process.
   *
   * @param stream the stream to write to
   * @param level the level for the classes of this system; libraries log at {@link LogLevel#WARN}
   */
  public static void install(PrintStream stream, LogLevel level) {
    LogManager.getLogManager().reset();
    Arrays.stream(ROOT.getHandlers()).forEach(ROOT::removeHandler);
    ROOT.addHandler(new StreamHandler(stream));
    ROOT.setLevel(LogLevel.WARN.level());
    OWN.setLevel(level.level());
  }

  /**
   * Replaces all log handlers of the process by one that never blocks the logging thread.
   *
   * @param lines the writer of log lines
   * @param level the level for the classes of this system; libraries log at {@link LogLevel#WARN}
   */
  public static void install(AsyncLineWriter lines, LogLevel level) {
    install(System.err, level);
    Arrays.stream(ROOT.getHandlers()).forEach(ROOT::removeHandler);
    ROOT.addHandler(new LinesHandler(lines));
  }

  /** Passes each record to a bounded queue. */
  private static final class LinesHandler extends Handler {
    private final AsyncLineWriter lines;

    LinesHandler(AsyncLineWriter lines) {
      this.lines = lines;
      setFormatter(new LineFormatter());
      setLevel(Level.ALL);
    }

    @Override
    public void publish(LogRecord record) {
      if (isLoggable(record)) {
        lines.add(getFormatter().format(record));
      }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
      lines.close();
    }
  }

  /** Writes each record synchronously. */
  private static final class StreamHandler extends Handler {
    private final PrintStream stream;

    StreamHandler(PrintStream stream) {
      this.stream = new PrintStream(stream, true, UTF_8);
      setFormatter(new LineFormatter());
      setLevel(Level.ALL);
    }

    @Override
    public void publish(LogRecord record) {
      if (isLoggable(record)) {
        stream.println(getFormatter().format(record));
      }
    }

    @Override
    public void flush() {
      stream.flush();
    }

    @Override
    public void close() {
      stream.flush();
    }
  }

  /** Formats a record as one line. */
  static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
      String message = formatMessage(record);
      String event =
          message.startsWith("event=")
              ? message
              : EventLine.format("library-message", "message", message);
      String line =
          "time=%s level=%s logger=%s %s"
              .formatted(
                  record.getInstant(),
                  levelCode(record.getLevel()),
                  shortName(record.getLoggerName()),
                  event);
      return record.getThrown() == null
          ? line
          : line + " error=" + EventLine.value(stackTrace(record.getThrown()));
    }

    private static String levelCode(Level level) {
      return Arrays.stream(LogLevel.values())
          .filter(each -> level.intValue() >= each.level().intValue())
          .findFirst()
          .orElse(LogLevel.DEBUG)
          .code();
    }

    private static String shortName(String logger) {
      return logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static String stackTrace(Throwable thrown) {
      StringWriter text = new StringWriter();
      thrown.printStackTrace(new PrintWriter(text));
      return text.toString().strip();
    }
  }
}
