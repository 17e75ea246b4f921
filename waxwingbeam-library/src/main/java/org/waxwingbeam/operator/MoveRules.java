package org.waxwingbeam.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;

/** Validates and applies changes that start, advance or roll back version moves. */
final class MoveRules {
  private static final int FULL_SHARE_PER_MILLE = 1_000;
  private static final long MAX_DURATION_MS = 31L * 24 * 60 * 60 * 1_000;
  private static final int MAX_REASON_LENGTH = 500;

  private MoveRules() {}

  /** Returns the service's version move if it is running or soaking. */
  static Optional<VersionMove> unfinished(Configuration configuration, ServiceName service) {
    return Optional.ofNullable(configuration.moves().get(service))
        .filter(move -> isUnfinished(move.state()));
  }

  private static boolean isUnfinished(VersionMove.State state) {
    return switch (state) {
      case RUNNING, SOAKING -> true;
      case FINISHED, ROLLED_BACK -> false;
    };
  }

  /**
   * Returns the version that serves a service's traffic according to its latest move; while a move
   * is running, its old version.
   */
  private static Optional<VersionName> currentVersion(
      Configuration configuration, ServiceName service) {
    return Optional.ofNullable(configuration.moves().get(service))
        .map(
            move ->
                switch (move.state()) {
                  case RUNNING, ROLLED_BACK -> move.from();
                  case SOAKING, FINISHED -> move.to();
                });
  }

  static List<Fault> startFaults(
      Configuration configuration, Change.MoveVersion move, long acceptedMs) {
    String subject = "version move of service '%s'".formatted(move.service());
    List<Fault> faults = new ArrayList<>(serviceFaults(configuration, move.service()));
    unfinished(configuration, move.service())
        .ifPresent(
            old ->
                faults.add(
                    new Fault(
                        subject + " to",
                        move.to().toString(),
                        "the move to %s to be finished or rolled back first".formatted(old.to()))));
    faults.addAll(fromFaults(configuration, subject, move));
    faults.addAll(deadlineFaults(subject, move.deadlineMs(), acceptedMs));
    return faults;
  }

  private static List<Fault> serviceFaults(Configuration configuration, ServiceName service) {
    var services =
        configuration.templates().values().stream()
            .map(Template::service)
            .collect(Collectors.toSet());
    return services.contains(service)
        ? List.of()
        : ChangeValidator.unknownNameFaults("service", service, services);
  }

  private static List<Fault> fromFaults(
      Configuration configuration, String subject, Change.MoveVersion move) {
    Optional<VersionName> current = currentVersion(configuration, move.service());
    Optional<VersionName> from = move.from().or(() -> current);
    if (from.isEmpty()) {
      return List.of(
          new Fault(
              subject + " from", "", "the present version; this is the service's first move"));
    }
    if (current.isPresent() && !current.equals(from)) {
      return List.of(
          new Fault(
              subject + " from", from.get().toString(), "the present version " + current.get()));
    }
    return from.get().equals(move.to())
        ? List.of(
            new Fault(subject + " to", move.to().toString(), "another version than the present"))
        : List.of();
  }

  private static List<Fault> deadlineFaults(String subject, long deadlineMs, long acceptedMs) {
    if (deadlineMs > acceptedMs && deadlineMs - acceptedMs <= MAX_DURATION_MS) {
      return List.of();
    }
    return List.of(
        new Fault(
            subject + " deadline",
            deadlineMs + " ms",
            "a time after now, which is %d ms, and at most 31 days later".formatted(acceptedMs)));
  }

  static VersionMove start(Configuration configuration, Change.MoveVersion move, long acceptedMs) {
    VersionName from =
        move.from().or(() -> currentVersion(configuration, move.service())).orElseThrow();
    return new VersionMove(
        move.service(),
        from,
        move.to(),
        acceptedMs,
        move.deadlineMs(),
        0,
        VersionMove.State.RUNNING,
        "");
  }

  static List<Fault> advanceFaults(Configuration configuration, Change.AdvanceMove advance) {
    String subject = "version move of service '%s'".formatted(advance.service());
    Optional<VersionMove> move = unfinished(configuration, advance.service());
    if (move.isEmpty() || !move.get().to().equals(advance.to())) {
      return List.of(
          new Fault(subject + " to", advance.to().toString(), "the version of an unfinished move"));
    }
    List<Fault> faults = new ArrayList<>();
    if (!mayFollow(move.get().state(), advance.state())) {
      faults.add(
          new Fault(
              subject + " state",
              advance.state().name(),
              "a state that may follow " + move.get().state().name()));
    }
    faults.addAll(shareFaults(subject, advance));
    return faults;
  }

  private static boolean mayFollow(VersionMove.State before, VersionMove.State after) {
    return switch (after) {
      case RUNNING -> before == VersionMove.State.RUNNING;
      case SOAKING, FINISHED -> true;
      case ROLLED_BACK -> false;
    };
  }

  private static List<Fault> shareFaults(String subject, Change.AdvanceMove advance) {
    boolean isComplete = advance.state() != VersionMove.State.RUNNING;
    int minShare = isComplete ? FULL_SHARE_PER_MILLE : 0;
    int share = advance.sharePerMille();
    return share >= minShare && share <= FULL_SHARE_PER_MILLE
        ? List.of()
        : List.of(
            new Fault(
                subject + " share",
                share + " per mille",
                "%d to %d per mille in state %s"
                    .formatted(minShare, FULL_SHARE_PER_MILLE, advance.state())));
  }

  static VersionMove advance(Configuration configuration, Change.AdvanceMove advance) {
    VersionMove move = configuration.moves().get(advance.service());
    return move.withProgress(advance.sharePerMille(), advance.state(), "");
  }

  static List<Fault> rollBackFaults(Configuration configuration, Change.RollBackMove back) {
    List<Fault> faults = new ArrayList<>();
    if (unfinished(configuration, back.service()).isEmpty()) {
      faults.add(
          new Fault("service", back.service().toString(), "one with an unfinished version move"));
    }
    if (back.reason().isBlank() || back.reason().length() > MAX_REASON_LENGTH) {
      faults.add(
          new Fault(
              "roll-back of service '%s' reason".formatted(back.service()),
              back.reason(),
              "1 to %d characters".formatted(MAX_REASON_LENGTH)));
    }
    return faults;
  }

  static VersionMove rollBack(Configuration configuration, Change.RollBackMove back) {
    VersionMove move = configuration.moves().get(back.service());
    return move.withProgress(0, VersionMove.State.ROLLED_BACK, back.reason());
  }
}
