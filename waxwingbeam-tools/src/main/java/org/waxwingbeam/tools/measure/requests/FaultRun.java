package org.waxwingbeam.tools.measure.requests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;
import org.waxwingbeam.tools.testing.TableClaimClient;

/**
 * Sends random requests, one after another, through two entry instances to three faulty targets,
 * resends them as callers may, and checks the content of each response and how often each request
 * ran.
 */
final class FaultRun implements AutoCloseable {
  private static final int TARGETS = 3;
  private static final int MAX_RESENDS = 2;
  private static final long DEADLINE_MS = 150;
  private static final Fault[] FAULTS = Fault.values();

  private final SplittableRandom random;
  private final ConcurrentLinkedQueue<Fault> plannedFaults = new ConcurrentLinkedQueue<>();
  private final List<FaultyTarget> targets = new ArrayList<>();
  private final EntryFixture[] entries = new EntryFixture[2];
  private final TableClaimClient claims = new TableClaimClient();
  private final FaultTally tally = new FaultTally();
  private final long seed;
  private int startedEntries;

  FaultRun(long seed) throws IOException {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    for (int i = 0; i < TARGETS; i++) {
      targets.add(new FaultyTarget(plannedFaults, random.split()));
    }
    entries[0] = newEntry();
    entries[1] = newEntry();
  }

  private EntryFixture newEntry() {
    startedEntries++;
    List<TargetId> ids = targets.stream().map(FaultyTarget::id).toList();
    Parameters parameters =
        Parameters.NONE
            .with(Parameter.DEADLINE, DEADLINE_MS)
            .with(Parameter.HEDGE_AFTER, 40)
            .with(Parameter.RETRY_BUDGET, 100)
            .with(Parameter.POISON_RETENTION, 1_000);
    return new EntryFixture(
        new RotatingDispatcher(ids),
        parameters,
        EntryFixture.ORDINARY_LIMITS,
        new EntryFixture.InstanceServices(
            "entry-" + startedEntries, claims, new PoisonRequestDetector()));
  }

  /** Sends a number of requests and returns the tally of their results. */
  FaultTally run(int requests) throws Exception {
    List<GeneratedRequest> sentRequests = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      GeneratedRequest each = GeneratedRequest.random("s%d-%d".formatted(seed, i), random);
      sendUntilDone(each);
      sentRequests.add(each);
    }
    sentRequests.forEach(each -> tally.recordRuns(each, runCount(each.id())));
    return tally;
  }

  private void sendUntilDone(GeneratedRequest request) throws Exception {
    for (int resends = 0; resends <= MAX_RESENDS; resends++) {
      planFaults();
      claims.loseResponses(random.nextInt(20) == 0);
      claims.loseOutcomes(random.nextInt(20) == 0);
      int entry = random.nextInt(entries.length);
      Optional<RawResponse> response = send(entries[entry], request);
      tally.recordResponse(request, response, runCount(request.id()));
      if (random.nextInt(30) == 0) {
        replaceEntry(entry);
      }
      if (!request.mayResend(response)) {
        return;
      }
    }
  }

  private void planFaults() {
    plannedFaults.clear();
    for (int i = random.nextInt(3); i >= 0; i--) {
      plannedFaults.add(FAULTS[random.nextInt(FAULTS.length)]);
    }
  }

  /** Stops an entry instance abruptly and starts another under a new name. */
  private void replaceEntry(int index) {
    entries[index].close();
    claims.endEntryLease("entry-" + startedEntries);
    entries[index] = newEntry();
  }

  private static Optional<RawResponse> send(EntryFixture entry, GeneratedRequest request)
      throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request.httpText());
      return caller.readResponse(false);
    }
  }

  private int runCount(String id) {
    return targets.stream().mapToInt(target -> target.runCount(id)).sum();
  }

  @Override
  public void close() throws IOException {
    for (EntryFixture entry : entries) {
      entry.close();
    }
    for (FaultyTarget target : targets) {
      target.close();
    }
  }

  /**
   * A randomly generated request.
   *
   * @param id identifies the request in the run counts of the targets
   * @param idempotent whether it may run more than once
   * @param hasKey whether it carries an idempotency key
   * @param bodyLength the length of its body, in bytes
   */
  record GeneratedRequest(String id, boolean idempotent, boolean hasKey, int bodyLength) {
    static GeneratedRequest random(String id, SplittableRandom random) {
      boolean idempotent = random.nextInt(3) == 0;
      return new GeneratedRequest(id, idempotent, random.nextInt(3) > 0, random.nextInt(200));
    }

    String httpText() {
      String body = idempotent ? "" : "b".repeat(bodyLength);
      return String.join(
          "\r\n",
          idempotent ? "GET /listings/" + id + " HTTP/1.1" : "POST /orders HTTP/1.1",
          "host: " + EntryFixture.HOST,
          HostileTarget.CASE_HEADER + ": " + id,
          hasKey ? "idempotency-key: " + id : "x-unkeyed: yes",
          "content-length: " + body.length(),
          "",
          body);
    }

    /** Returns whether a caller may safely resend the request after a response, or after none. */
    boolean mayResend(Optional<RawResponse> response) {
      boolean reportedNotRun =
          response.flatMap(each -> each.header("waxwingbeam-run")).equals(Optional.of("no"));
      boolean succeeded =
          response.isPresent() && response.get().header("waxwingbeam-error").isEmpty();
      return !succeeded && (idempotent || hasKey || reportedNotRun);
    }
  }
}
