package org.waxwingbeam.tools.sessions;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.settings.DefinitionReader;
import org.waxwingbeam.settings.DefinitionResult;

/**
 * Runs a session file. Each line has a time in milliseconds, an actor and its action.
 *
 * <pre>{@code
 * 0   entry e1 starts data-centre=north
 * 0   operator ann puts template archive
 * 10  target t1 starts service=archive data-centre=north takes=8
 * 50  caller c1 sends GET fieldwork.archive.officina.example/catalogue/7 to e1
 * }</pre>
 */
final class Session {
  private static final long AFTER_LAST_LINE_MS = 60_000;
  private static final Path CONF =
      Path.of(System.getProperty("waxwingbeam.root"), "conf", "officina-dialettale");

  private final SessionSystem system = new SessionSystem();
  private Configuration savedConfiguration = Configuration.EMPTY;
  private int changeCount;

  /** Runs the lines and returns the output of all actors. */
  static String run(List<String> text) {
    Session session = new Session();
    List<SessionLine> lines =
        text.stream()
            .filter(line -> !line.isBlank() && !line.startsWith("#"))
            .map(SessionLine::parse)
            .toList();
    lines.forEach(
        line -> session.system.clock().scheduleAt(line.atMs(), () -> session.execute(line)));
    session.system.clock().runUntil(lines.getLast().atMs() + AFTER_LAST_LINE_MS);
    return session.system.output();
  }

  private void execute(SessionLine line) {
    switch (line.word(0)) {
      case "operator" -> executeOperator(line);
      case "target" -> executeTarget(line);
      case "entry" -> executeEntry(line);
      case "caller" -> system.startRequest(line);
      case "control" -> executeControl(line);
      default -> throw unknownCommand(line);
    }
  }

  private void executeTarget(SessionLine line) {
    switch (line.word(2)) {
      case "starts" -> system.addTarget(line);
      case "goes" -> {
        system.target(line.word(1)).setState(line.word(3));
        system.announce(system.target(line.word(1)));
      }
      case "ends" -> system.target(line.word(1)).setOutcome(line.word(3), line);
      case "is-found-warm" -> system.reportWarm(system.target(line.word(1)));
      case "announces-again" -> system.announce(system.target(line.word(1)));
      default -> throw unknownCommand(line);
    }
  }

  private void executeEntry(SessionLine line) {
    String name = line.word(1);
    switch (line.word(2)) {
      case "starts" -> system.addEntry(name, line.option("data-centre", "north"));
      case "restarts" -> system.restartEntry(name, line.option("data-centre", "north"));
      case "stops" -> system.entry(name).stop();
      case "is-cut-off" -> system.entry(name).setCutOff(true);
      case "is-joined" -> {
        system.entry(name).setCutOff(false);
        system.sendLatestConfiguration(system.entry(name));
      }
      case "hears-remembered" ->
          system.deliverConfiguration(system.entry(name), savedConfiguration);
      default -> throw unknownCommand(line);
    }
  }

  private void executeControl(SessionLine line) {
    switch (line.word(1)) {
      case "loses-quorum" -> system.control().setReachable(false);
      case "regains-quorum" -> system.control().setReachable(true);
      case "remembers" -> savedConfiguration = system.control().configuration();
      case "restarts" -> restartControl();
      default -> throw unknownCommand(line);
    }
  }

  private void restartControl() {
    try {
      system.control().restart();
    } catch (Exception damaged) {
      throw new IllegalStateException(damaged);
    }
  }

  private void executeOperator(SessionLine line) {
    int times = Integer.parseInt(line.option("times", "1"));
    for (int time = 0; time < times; time++) {
      long current = system.control().configuration().number();
      long basedOn = Long.parseLong(line.option("based-on", "" + current));
      String id = line.option("id", "change-" + ++changeCount);
      system.submitChange(line.word(1), id, basedOn, parseChange(line));
    }
  }

  private Change parseChange(SessionLine line) {
    return switch (line.word(2)) {
      case "puts" -> readPut(line.word(3), line.word(4));
      case "takes-out" -> new Change.TakeDataCentreOut(new DataCentreName(line.word(3)));
      case "brings-in" -> new Change.BringDataCentreIn(new DataCentreName(line.word(3)));
      case "moves" ->
          new Change.MoveVersion(
              new ServiceName(line.word(3)),
              Optional.of(new VersionName(line.option("from", "v1"))),
              new VersionName(line.option("to", "v2")),
              Long.parseLong(line.option("deadline", "3600000")));
      case "rolls-back" -> new Change.RollBackMove(new ServiceName(line.word(3)), "operator");
      default -> throw unknownCommand(line);
    };
  }

  private static Change readPut(String kind, String name) {
    Path file = CONF.resolve("%s-%s.ini".formatted(kind, name));
    try {
      return kind.equals("template")
          ? new Change.PutTemplate(
              ((DefinitionResult.Valid<Template>) DefinitionReader.template(file)).value())
          : new Change.PutAccount(
              ((DefinitionResult.Valid<Account>) DefinitionReader.account(file)).value());
    } catch (IOException unreadable) {
      throw new IllegalStateException(unreadable);
    }
  }

  private static IllegalArgumentException unknownCommand(SessionLine line) {
    return new IllegalArgumentException("unknown actor or action: " + line);
  }

  /** Reads the lines of a session file. */
  static List<String> lines(Path file) throws IOException {
    return Files.readAllLines(file);
  }
}
