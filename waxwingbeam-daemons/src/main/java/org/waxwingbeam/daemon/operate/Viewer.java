package org.waxwingbeam.daemon.operate;

import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.operator.ConfigurationCodec;
import org.waxwingbeam.operator.MalformedMessageException;
import org.waxwingbeam.settings.DefinitionWriter;
import org.waxwingbeam.text.NearestName;
import org.waxwingbeam.wire.operator.EntryStatus;
import org.waxwingbeam.wire.operator.History;
import org.waxwingbeam.wire.operator.HistoryEntry;
import org.waxwingbeam.wire.operator.ReplicaStatus;
import org.waxwingbeam.wire.operator.Status;

/** Prints the configuration, the status and the history that the control replicas hold. */
final class Viewer {
  private final OperatorClient client;
  private final PrintStream out;
  private final PrintStream err;

  Viewer(OperatorClient client, PrintStream out, PrintStream err) {
    this.client = client;
    this.out = out;
    this.err = err;
  }

  ExitCode showConfiguration(Action.ShowConfiguration show) throws InterruptedException {
    var reply =
        client.get(
            "/configuration",
            org.waxwingbeam.wire.configuration.Configuration.getDefaultInstance());
    return printReply(
        reply,
        message -> {
          try {
            return printPart(show, ConfigurationCodec.decode(message));
          } catch (MalformedMessageException malformed) {
            err.println("the replica's configuration is malformed: " + malformed.getMessage());
            return ExitCode.FAILED;
          }
        });
  }

  private ExitCode printPart(Action.ShowConfiguration show, Configuration configuration) {
    return switch (show.part()) {
      case TEMPLATES ->
          printItems(show.name(), configuration.templates(), DefinitionWriter::template);
      case ACCOUNTS -> printItems(show.name(), configuration.accounts(), DefinitionWriter::account);
      case DATA_CENTRES -> {
        configuration.dataCentresOut().forEach(name -> out.println(name + " out"));
        yield ExitCode.OK;
      }
      case MOVES -> {
        configuration.moves().values().forEach(this::printMove);
        yield ExitCode.OK;
      }
    };
  }

  private <K, V> ExitCode printItems(
      Optional<String> name, Map<K, V> items, Function<V, String> format) {
    if (name.isEmpty()) {
      items.keySet().forEach(out::println);
      return ExitCode.OK;
    }
    Optional<V> found =
        items.entrySet().stream()
            .filter(entry -> entry.getKey().toString().equals(name.get()))
            .map(Map.Entry::getValue)
            .findFirst();
    if (found.isPresent()) {
      out.print(format.apply(found.get()));
      return ExitCode.OK;
    }
    List<String> known = items.keySet().stream().map(Object::toString).toList();
    String nearest =
        NearestName.of(name.get(), known)
            .map("; the nearest known one is '%s'"::formatted)
            .orElse("");
    err.println("'%s' is not known%s".formatted(name.get(), nearest));
    return ExitCode.FAILED;
  }

  private void printMove(VersionMove move) {
    String reason = move.reason().isEmpty() ? "" : ", " + move.reason();
    out.printf(
        "%s: %s to %s, %s, share %d of 1000, by %s%s%n",
        move.service(),
        move.from(),
        move.to(),
        move.state(),
        move.sharePerMille(),
        Instant.ofEpochMilli(move.deadlineMs()),
        reason);
  }

  ExitCode showStatus() throws InterruptedException {
    return printReply(
        client.get("/status", Status.getDefaultInstance()),
        status -> {
          out.printf(
              "replica %s: %s, leader %s, term %d, configuration %d%n",
              status.getReplica(),
              status.getRole(),
              status.getLeader(),
              status.getTerm(),
              status.getConfigurationNumber());
          printReplicas(status);
          status.getEntriesList().forEach(this::printEntry);
          return ExitCode.OK;
        });
  }

  ExitCode showReplicas() throws InterruptedException {
    return printReply(
        client.get("/status", Status.getDefaultInstance()),
        status -> {
          printReplicas(status);
          return ExitCode.OK;
        });
  }

  private void printReplicas(Status status) {
    for (ReplicaStatus replica : status.getReplicasList()) {
      out.printf(
          "  replica %s at %s: %s, index %d, heard %d ms ago%n",
          replica.getId(),
          replica.getAddress(),
          replica.getRole(),
          replica.getMatchIndex(),
          replica.getLastHeardMsAgo());
    }
  }

  private void printEntry(EntryStatus entry) {
    out.printf(
        "  entry %s in %s: applied %d, heard %d ms ago%n",
        entry.getName(),
        entry.getDataCentre(),
        entry.getAppliedNumber(),
        entry.getLastHeardMsAgo());
  }

  ExitCode showHistory(long from) throws InterruptedException {
    return printReply(
        client.get("/changes?from=" + from, History.getDefaultInstance()),
        history -> {
          history.getEntriesList().forEach(this::printHistoryEntry);
          return ExitCode.OK;
        });
  }

  private void printHistoryEntry(HistoryEntry entry) {
    String inForce =
        entry.getInForceMs() == 0
            ? "not known to be in force"
            : "in force after %d ms".formatted(entry.getInForceMs() - entry.getAcceptedMs());
    out.printf(
        "%d %s %s by %s, %s (change-id %s)%n",
        entry.getNumber(),
        Instant.ofEpochMilli(entry.getAcceptedMs()),
        ChangeText.describe(entry.getChange()),
        entry.getOperator(),
        inForce,
        entry.getChangeId());
  }

  private <T> ExitCode printReply(Reply<T> reply, Function<T, ExitCode> show) {
    return switch (reply) {
      case Reply.Received<T> received -> show.apply(received.message());
      case Reply.Rejected<T> rejected -> reportFailure(rejected.reason());
      case Reply.Unreachable<T> unreachable -> reportFailure(unreachable.reason());
      case Reply.Lost<T> lost -> reportFailure(lost.reason());
    };
  }

  private ExitCode reportFailure(String reason) {
    err.println("no replica responded: " + reason);
    return ExitCode.FAILED;
  }
}
