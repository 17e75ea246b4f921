package org.waxwingbeam.tools.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Records the requests that a stand-in target ran and refused. Used only on its event loop. */
final class RunRecord {
  private static final int MAX_RUNS = 500_000;

  private final List<Run> runs = new ArrayList<>();
  private final Map<String, Long> refused = new TreeMap<>();
  private final Map<String, Long> outcomes = new TreeMap<>();
  private long started;
  private long droppedRuns;
  private int maxInFlight;
  private int maxInFlightCold;
  private long lastNewRequestMs;
  private long lastRunMs;

  /** One run of one request. */
  static final class Run {
    private final String id;
    private final String key;
    private final String token;
    private final String path;
    private final long startMs;
    private long endMs;
    private String outcome = "running";

    Run(String id, String key, String token, String path, long startMs) {
      this.id = id;
      this.key = key;
      this.token = token;
      this.path = path;
      this.startMs = startMs;
    }

    private String json() {
      return ("{\"id\":%s,\"key\":%s,\"token\":%s,\"path\":%s,"
              + "\"startMs\":%d,\"endMs\":%d,\"outcome\":%s}")
          .formatted(
              jsonString(id),
              jsonString(key),
              jsonString(token),
              jsonString(path),
              startMs,
              endMs,
              jsonString(outcome));
    }
  }

  void recordArrival(long nowMs) {
    lastNewRequestMs = nowMs;
  }

  void recordRefusal(String reason) {
    refused.merge(reason, 1L, Long::sum);
  }

  void recordStart(Run run, int inFlight, boolean cold) {
    started++;
    lastRunMs = run.startMs;
    maxInFlight = Math.max(maxInFlight, inFlight);
    if (cold) {
      maxInFlightCold = Math.max(maxInFlightCold, inFlight);
    }
    if (runs.size() < MAX_RUNS) {
      runs.add(run);
    } else {
      droppedRuns++;
    }
  }

  void recordEnd(Run run, long nowMs, String outcome) {
    run.endMs = nowMs;
    run.outcome = outcome;
    outcomes.merge(outcome, 1L, Long::sum);
  }

  void clear() {
    runs.clear();
    refused.clear();
    outcomes.clear();
    started = 0;
    droppedRuns = 0;
    maxInFlight = 0;
    maxInFlightCold = 0;
  }

  /** Returns the record as the fields of a JSON object, without braces. */
  String jsonFields(boolean withRuns) {
    String summary =
        ("\"started\":%d,\"outcomes\":%s,\"refused\":%s,\"maxInFlight\":%d,"
                + "\"maxInFlightCold\":%d,\"lastNewRequestMs\":%d,\"lastRunMs\":%d,\"dropped\":%d")
            .formatted(
                started,
                json(outcomes),
                json(refused),
                maxInFlight,
                maxInFlightCold,
                lastNewRequestMs,
                lastRunMs,
                droppedRuns);
    String list = runs.stream().map(Run::json).collect(Collectors.joining(",", ",\"runs\":[", "]"));
    return withRuns ? summary + list : summary;
  }

  static String jsonString(String text) {
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private static String json(Map<String, Long> counts) {
    return counts.entrySet().stream()
        .map(entry -> jsonString(entry.getKey()) + ":" + entry.getValue())
        .collect(Collectors.joining(",", "{", "}"));
  }
}
