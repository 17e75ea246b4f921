package org.waxwingbeam.tools.explain;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Collects the lines of several logs that matter for one request: those that name it, and those
 * that say what processes knew. Other requests' lines are only counted, so that long logs fit in
 * memory.
 */
final class LogFiles {
  private final String requestId;
  private final List<LogLine> kept = new ArrayList<>();
  private long readLines;

  LogFiles(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Reads one log to its end.
   *
   * @param name the name of the file
   * @return the number of lines that were skipped because they are not lines of a log
   */
  long read(String name, InputStream log) throws IOException {
    long skipped = 0;
    BufferedReader reader = new BufferedReader(new InputStreamReader(log, UTF_8));
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      Optional<LogLine> line = LogLine.parse(name, text);
      readLines++;
      if (line.isEmpty()) {
        skipped++;
      }
      line.filter(this::matters).ifPresent(kept::add);
    }
    return skipped;
  }

  private boolean matters(LogLine line) {
    return !line.event().equals(Explanation.REQUEST_ENDED)
        || line.value("request").equals(requestId);
  }

  long readLines() {
    return readLines;
  }

  /** Returns the kept lines in the order of their times. */
  List<LogLine> lines() {
    return kept.stream().sorted(Comparator.comparing(LogLine::time)).toList();
  }
}
