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
 * Runs a session file: each line has a time in milliseconds, an actor and what it does.
 *
 * <pre>{@code
 * 0   entry e1 starts data-centre=north
 * 0   operator ann puts template archive
 * 10  target t1 starts service=archive data-centre=north takes=8
 * 50  caller c1 sends GET fieldwork.archive.officina.example/catalogue/7 to e1
 * }</pre>
 */
final class Session {
  private static final long TAIL_MS = 60_000;
  private static final Path CONF =
      Path.of(System.getProperty("waxwingbeam.root"), "conf", "officina-dialettale");

  private final SessionWorld world = new SessionWorld();
  private Configuration remembered = Configuration.EMPTY;
  private int changes;

  /** Runs the lines and returns everything that the actors saw. */
  static String run(List<String> text) {
    Session session = new Session();
    List<SessionLine> lines =
        text.stream()
            .filter(line -> !line.isBlank() && !line.startsWith("#"))
            .map(SessionLine::parse)
            .toList();
    lines.forEach(line -> session.world.clock().at(line.atMs(), () -> session.perform(line)));
    session.world.clock().runUntil(lines.getLast().atMs() + TAIL_MS);
    return session.world.output();
  }

  private void perform(SessionLine line) {
    switch (line.word(0)) {
      case "operator" -> operate(line);
      case "target" -> target(line);
      case "entry" -> entry(line);
      case "caller" -> world.send(line);
      case "control" -> control(line);
      default -> throw unknown(line);
    }
  }

  private void target(SessionLine line) {
    switch (line.word(2)) {
      case "starts" -> world.addTarget(line);
      case "goes" -> {
        world.target(line.word(1)).goes(line.word(3));
        world.announce(world.target(line.word(1)));
      }
      case "ends" -> world.target(line.word(1)).ends(line.word(3), line);
      case "is-found-warm" -> world.findWarm(world.target(line.word(1)));
      case "announces-again" -> world.announce(world.target(line.word(1)));
      default -> throw unknown(line);
    }
  }

  private void entry(SessionLine line) {
    String name = line.word(1);
    switch (line.word(2)) {
      case "starts" -> world.addEntry(name, line.option("data-centre", "north"));
      case "restarts" -> world.restartEntry(name, line.option("data-centre", "north"));
      case "stops" -> world.entry(name).stop();
      case "is-cut-off" -> world.entry(name).setCut(true);
      case "is-joined" -> {
        world.entry(name).setCut(false);
        world.deliverNewest(world.entry(name));
      }
      case "hears-remembered" -> world.deliver(world.entry(name), remembered);
      default -> throw unknown(line);
    }
  }

  private void control(SessionLine line) {
    switch (line.word(1)) {
      case "loses-quorum" -> world.control().setReachable(false);
      case "regains-quorum" -> world.control().setReachable(true);
      case "remembers" -> remembered = world.control().configuration();
      case "restarts" -> restartControl();
      default -> throw unknown(line);
    }
  }

  private void restartControl() {
    try {
      world.control().restart();
    } catch (Exception damaged) {
      throw new IllegalStateException(damaged);
    }
  }

  private void operate(SessionLine line) {
    int times = Integer.parseInt(line.option("times", "1"));
    for (int time = 0; time < times; time++) {
      long current = world.control().configuration().number();
      long basedOn = Long.parseLong(line.option("based-on", "" + current));
      String id = line.option("id", "change-" + ++changes);
      world.change(line.word(1), id, basedOn, change(line));
    }
  }

  private Change change(SessionLine line) {
    return switch (line.word(2)) {
      case "puts" -> put(line.word(3), line.word(4));
      case "takes-out" -> new Change.TakeDataCentreOut(new DataCentreName(line.word(3)));
      case "brings-in" -> new Change.BringDataCentreIn(new DataCentreName(line.word(3)));
      case "moves" ->
          new Change.MoveVersion(
              new ServiceName(line.word(3)),
              Optional.of(new VersionName(line.option("from", "v1"))),
              new VersionName(line.option("to", "v2")),
              Long.parseLong(line.option("deadline", "3600000")));
      case "rolls-back" -> new Change.RollBackMove(new ServiceName(line.word(3)), "operator");
      default -> throw unknown(line);
    };
  }

  private static Change put(String kind, String name) {
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

  private static IllegalArgumentException unknown(SessionLine line) {
    return new IllegalArgumentException("unknown line: " + line);
  }

  /** Reads the lines of a session file. */
  static List<String> lines(Path file) throws IOException {
    return Files.readAllLines(file);
  }
}
