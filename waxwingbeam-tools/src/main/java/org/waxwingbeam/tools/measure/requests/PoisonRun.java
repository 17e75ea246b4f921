package org.waxwingbeam.tools.measure.requests;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingbeam.caller.CrashRecord;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawRequest;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;
import org.waxwingbeam.tools.testing.TableClaimClient;

/**
 * Repeatedly sends a request that crashes every target that runs it, through four entry instances
 * that share their crash records, together with ordinary requests of two client accounts.
 */
final class PoisonRun implements AutoCloseable {
  private static final int ENTRIES = 4;
  private static final int TARGETS = 8;
  private static final long DOWNTIME_MS = 200;
  private static final String CRASHING_PATH = "/listings/crash";

  private final SplittableRandom random;
  private final List<HostileTarget> targets = new ArrayList<>();
  private final List<EntryFixture> entries = new ArrayList<>();
  private final List<PoisonRequestDetector> detectors = new ArrayList<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private int refused;
  private int ordinaryRequests;
  private int successfulOrdinaryRequests;

  PoisonRun(long seed) throws IOException {
    random = new SplittableRandom(seed);
    for (int i = 0; i < TARGETS; i++) {
      targets.add(new HostileTarget(this::serve));
    }
    List<TargetId> ids = targets.stream().map(HostileTarget::id).toList();
    Parameters parameters = Parameters.NONE.with(Parameter.RETRY_BUDGET, 100);
    for (int i = 0; i < ENTRIES; i++) {
      detectors.add(new PoisonRequestDetector());
      EntryFixture.InstanceServices shared =
          new EntryFixture.InstanceServices("entry-" + i, new TableClaimClient(), detectors.get(i));
      entries.add(
          new EntryFixture(
              new RotatingDispatcher(ids), parameters, EntryFixture.ORDINARY_LIMITS, shared));
    }
  }

  private void serve(HostileTarget.Connection connection) throws IOException, InterruptedException {
    Optional<RawRequest> request = connection.readAndCountRun();
    while (request.isPresent()) {
      if (request.get().requestLine().contains(CRASHING_PATH)
          && request.get().header("host").equals(Optional.of(EntryFixture.HOST))) {
        crashes.incrementAndGet();
        connection.crashTarget();
        Thread.sleep(DOWNTIME_MS);
        connection.restartTarget();
        return;
      }
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
      request = connection.readAndCountRun();
    }
  }

  /** Sends the crashing request a number of times, each time at a random entry instance. */
  PoisonRun run(int times) throws IOException {
    for (int i = 0; i < times; i++) {
      Optional<RawResponse> response = send(EntryFixture.HOST, CRASHING_PATH);
      boolean isRefusal =
          response
              .flatMap(each -> each.header("waxwingbeam-error"))
              .equals(Optional.of("poison-request"));
      refused += isRefusal ? 1 : 0;
      shareCrashRecords();
      sendOrdinary(EntryFixture.HOST, "/listings/other");
      sendOrdinary(EntryFixture.OTHER_HOST, CRASHING_PATH);
    }
    return this;
  }

  /** Merges each entry instance's crash records into all of them. */
  private void shareCrashRecords() {
    long now = System.nanoTime();
    List<CrashRecord> records =
        detectors.stream().flatMap(each -> each.drainChanges(now).stream()).toList();
    detectors.forEach(detector -> records.forEach(record -> detector.merge(now, record)));
  }

  private void sendOrdinary(String host, String path) throws IOException {
    ordinaryRequests++;
    successfulOrdinaryRequests +=
        send(host, path).filter(each -> each.status() == 200).isPresent() ? 1 : 0;
  }

  private Optional<RawResponse> send(String host, String path) throws IOException {
    EntryFixture entry = entries.get(random.nextInt(ENTRIES));
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send("GET %s HTTP/1.1\r\nhost: %s\r\n\r\n".formatted(path, host));
      return caller.readResponse(false);
    }
  }

  int crashes() {
    return crashes.get();
  }

  int refused() {
    return refused;
  }

  int failedOrdinaryRequests() {
    return ordinaryRequests - successfulOrdinaryRequests;
  }

  @Override
  public void close() throws IOException {
    entries.forEach(EntryFixture::close);
    for (HostileTarget target : targets) {
      target.close();
    }
  }
}
