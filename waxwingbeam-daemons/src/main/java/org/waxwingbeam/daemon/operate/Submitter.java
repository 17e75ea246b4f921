package org.waxwingbeam.daemon.operate;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import java.util.stream.Collectors;
import org.waxwingbeam.daemon.ExitCode;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.operator.ChangeCodec;
import org.waxwingbeam.text.NearestName;
import org.waxwingbeam.wire.configuration.Configuration;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.EntryStatus;
import org.waxwingbeam.wire.operator.InForce;
import org.waxwingbeam.wire.operator.ReplaceReplica;
import org.waxwingbeam.wire.operator.Status;

/** Submits changes to the control replicas and waits until they are in force. */
final class Submitter {
  private static final long POLL_MS = 100;
  private static final long NANOS_PER_MS = 1_000_000;

  private final OperatorClient client;
  private final OperateOptions options;
  private final PrintStream out;
  private final PrintStream err;

  Submitter(OperatorClient client, OperateOptions options, PrintStream out, PrintStream err) {
    this.client = client;
    this.options = options;
    this.out = out;
    this.err = err;
  }

  /** Submits a configuration change, reports its result and returns the exit code. */
  ExitCode submit(Change change) throws InterruptedException {
    Reply<Configuration> current = client.get("/configuration", Configuration.getDefaultInstance());
    if (!(current instanceof Reply.Received<Configuration> received)) {
      return reportFailure(current);
    }
    Optional<String> refusal = refusalReason(change, received.message());
    if (refusal.isPresent()) {
      err.println("refused: " + refusal.get());
      return ExitCode.REFUSED;
    }
    long basedOn = options.basedOn().orElse(received.message().getNumber());
    String id = options.changeId().orElseGet(() -> UUID.randomUUID().toString());
    out.printf("change-id %s, based on %d, sent at %s%n", id, basedOn, now());
    out.flush();
    ChangeRequest request =
        ChangeRequest.newBuilder()
            .setChangeId(id)
            .setBasedOn(basedOn)
            .setOperator(options.operator())
            .setChange(ChangeCodec.encode(change))
            .build();
    long startNanos = System.nanoTime();
    return reportResult(
        client.post("/changes", request, ChangeAnswer.getDefaultInstance()), startNanos);
  }

  /** Replaces a voter by a learner, reports the result and returns the exit code. */
  ExitCode replace(Action.ReplaceReplica replace) throws InterruptedException {
    ReplaceReplica request =
        ReplaceReplica.newBuilder().setOldId(replace.oldId()).setNewId(replace.newId()).build();
    Reply<ChangeAnswer> reply =
        client.post("/replicas/replace", request, ChangeAnswer.getDefaultInstance());
    if (reply instanceof Reply.Received<ChangeAnswer> received
        && received.message().getResult() == ChangeAnswer.Result.ACCEPTED) {
      out.printf("replica %s replaced by %s%n", replace.oldId(), replace.newId());
      return ExitCode.OK;
    }
    return reportResult(reply, System.nanoTime());
  }

  private ExitCode reportResult(Reply<ChangeAnswer> reply, long startNanos)
      throws InterruptedException {
    if (!(reply instanceof Reply.Received<ChangeAnswer> received)) {
      return reportFailure(reply);
    }
    ChangeAnswer response = received.message();
    return switch (response.getResult()) {
      case ACCEPTED -> reportAccepted(response.getNumber(), startNanos);
      case CONFLICT -> {
        err.printf("conflict: the current number is %d%n", response.getCurrentNumber());
        yield ExitCode.CONFLICT;
      }
      case REFUSED -> {
        response.getReasonsList().forEach(reason -> err.println("refused: " + reason));
        yield ExitCode.REFUSED;
      }
      case UNKNOWN, RESULT_UNSPECIFIED, UNRECOGNIZED -> {
        err.println("unknown whether the change was accepted; send it again with its change-id");
        yield ExitCode.UNKNOWN;
      }
    };
  }

  private ExitCode reportAccepted(long number, long startNanos) throws InterruptedException {
    out.printf("accepted as number %d after %d ms%n", number, elapsedMs(startNanos));
    out.flush();
    if (!options.waitUntilInForce()) {
      return ExitCode.ACCEPTED;
    }
    InForce last = InForce.getDefaultInstance();
    // At least one poll: submitting the change may have taken the whole time on its own.
    do {
      Reply<InForce> reply =
          client.get("/changes/%d/in-force".formatted(number), InForce.getDefaultInstance());
      if (reply instanceof Reply.Received<InForce> received) {
        last = received.message();
      }
      if (last.getInForce()) {
        out.printf("in force everywhere after %d ms%n", elapsedMs(startNanos));
        return ExitCode.OK;
      }
      Thread.sleep(POLL_MS);
    } while (elapsedMs(startNanos) < options.timeoutMs());
    err.printf(
        "not known to be in force after %d ms; not confirmed by: %s%n",
        elapsedMs(startNanos), String.join(", ", last.getUnconfirmedList()));
    return ExitCode.ACCEPTED;
  }

  private ExitCode reportFailure(Reply<?> reply) {
    return switch (reply) {
      case Reply.Received<?> received ->
          throw new IllegalStateException("expected a failed reply, found a received message");
      case Reply.Rejected<?> rejected -> {
        err.println(rejected.reason());
        yield ExitCode.FAILED;
      }
      case Reply.Unreachable<?> unreachable -> {
        err.println("no replica could carry out the request: " + unreachable.reason());
        yield ExitCode.FAILED;
      }
      case Reply.Lost<?> lost -> {
        err.println("the response was lost: " + lost.reason());
        yield ExitCode.UNKNOWN;
      }
    };
  }

  /** Returns why a data centre should not be taken out without --force, or empty. */
  private Optional<String> refusalReason(Change change, Configuration configuration)
      throws InterruptedException {
    if (!(change instanceof Change.TakeDataCentreOut out) || options.force()) {
      return Optional.empty();
    }
    Reply<Status> status = client.get("/status", Status.getDefaultInstance());
    return status instanceof Reply.Received<Status> received
        ? refusalReason(out.dataCentre().value(), received.message(), configuration)
        : Optional.empty();
  }

  private static Optional<String> refusalReason(
      String name, Status status, Configuration configuration) {
    Set<String> known =
        status.getEntriesList().stream()
            .map(EntryStatus::getDataCentre)
            .collect(Collectors.toCollection(TreeSet::new));
    if (!known.contains(name)) {
      String nearest = NearestName.of(name, known).map(" such as '%s'"::formatted).orElse("");
      return Optional.of(
          "data centre '%s': expected one that an entry instance runs in%s; --force overrides"
              .formatted(name, nearest));
    }
    known.removeAll(configuration.getDataCentresOutList());
    known.remove(name);
    return known.isEmpty()
        ? Optional.of(
            "data centre '%s': expected another one to stay in service; --force overrides"
                .formatted(name))
        : Optional.empty();
  }

  private static Instant now() {
    return Instant.ofEpochMilli(System.currentTimeMillis());
  }

  private static long elapsedMs(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }
}
