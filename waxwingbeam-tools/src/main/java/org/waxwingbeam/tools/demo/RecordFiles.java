package org.waxwingbeam.tools.demo;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the files written by the load command, the stand-in targets and the demo script. */
final class RecordFiles {
  private RecordFiles() {}

  /** Reads the load command's outcomes, one JSON object per line. */
  static List<CallerOutcome> outcomes(Path file) throws IOException {
    List<CallerOutcome> outcomes = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      Map<String, Value> fields = parseObject(line);
      outcomes.add(
          new CallerOutcome(
              text(fields, "token"),
              text(fields, "key"),
              text(fields, "kind"),
              text(fields, "error"),
              text(fields, "run"),
              text(fields, "dataCentre"),
              (long) number(fields, "startedMs"),
              number(fields, "latencyMs")));
    }
    return outcomes;
  }

  /** Reads the record of a process of stand-in targets. */
  static List<RecordedRun> runs(Path file) throws IOException {
    List<RecordedRun> runs = new ArrayList<>();
    for (Value target : list(parseObject(Files.readString(file)), "targets")) {
      Map<String, Value> fields = target.getStructValue().getFieldsMap();
      String dataCentre = text(fields, "dataCentre");
      if (number(fields, "dropped") > 0) {
        throw new IOException(
            "%s: incomplete record of the target on port %d: %d runs dropped, expected none"
                .formatted(file, (long) number(fields, "port"), (long) number(fields, "dropped")));
      }
      for (Value run : list(fields, "runs")) {
        Map<String, Value> each = run.getStructValue().getFieldsMap();
        runs.add(
            new RecordedRun(
                text(each, "token"),
                text(each, "key"),
                dataCentre,
                (long) number(each, "startMs")));
      }
    }
    return runs;
  }

  /** Reads events, one per line: a name and a time in milliseconds since the epoch. */
  static Map<String, Long> events(Path file) throws IOException {
    Map<String, Long> events = new TreeMap<>();
    for (String line : Files.readAllLines(file)) {
      String[] words = line.split(" ", -1);
      events.put(words[0], Long.parseLong(words[1]));
    }
    return events;
  }

  private static Map<String, Value> parseObject(String json) throws InvalidProtocolBufferException {
    Struct.Builder builder = Struct.newBuilder();
    JsonFormat.parser().merge(json, builder);
    return builder.build().getFieldsMap();
  }

  private static List<Value> list(Map<String, Value> fields, String name) {
    return field(fields, name).getListValue().getValuesList();
  }

  private static String text(Map<String, Value> fields, String name) {
    return field(fields, name).getStringValue();
  }

  private static double number(Map<String, Value> fields, String name) {
    return field(fields, name).getNumberValue();
  }

  private static Value field(Map<String, Value> fields, String name) {
    return fields.getOrDefault(name, Value.getDefaultInstance());
  }
}
