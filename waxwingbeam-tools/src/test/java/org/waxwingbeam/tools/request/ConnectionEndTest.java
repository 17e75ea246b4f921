package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.caller.PoisonRequestDetector;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;
import org.waxwingbeam.tools.testing.TableClaimClient;

/** Ends connections between and after responses, while callers leave or read slowly. */
@Timeout(120)
class ConnectionEndTest {
  /** Time in which bytes on an idle connection are read, in milliseconds. */
  private static final long SETTLE_MS = 100;

  private static final String GET =
      "GET /listings/a HTTP/1.1\r\nhost: alpha.orders.example\r\n\r\n";
  private static final String ORDER =
      "POST /orders HTTP/1.1\r\nhost: alpha.orders.example\r\nidempotency-key: k1\r\n"
          + "x-case: k1\r\ncontent-length: 1\r\n\r\nx";

  @Test
  void keyedRequestWhoseTornResponseIsBeingCheckedIsNotFreedWhenItsCallerLeaves() throws Exception {
    CountDownLatch caught = new CountDownLatch(1);
    HostileTarget.Script tornFirst =
        connection -> {
          while (connection.readAndCountRun().isPresent()) {
            if (connection.number() == 1) {
              connection.write("HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\npart");
              caught.await();
              connection.reset();
              return;
            }
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
          }
        };
    try (HostileTarget target = new HostileTarget(tornFirst);
        EntryFixture entry =
            new EntryFixture(
                new RotatingDispatcher(List.of(target.id())),
                Parameters.NONE,
                EntryFixture.ORDINARY_LIMITS,
                new EntryFixture.InstanceServices(
                    "entry-1", new TableClaimClient(), new PoisonRequestDetector()))) {
      try (RawCaller caller = new RawCaller(entry.endpoint())) {
        caller.send(ORDER);
        caller.socket().getInputStream().readNBytes(10);
        caught.countDown();
        Thread.sleep(8);
      }
      while (entry.activeExchanges() > 0) {
        Thread.sleep(5);
      }
      try (RawCaller caller = new RawCaller(entry.endpoint())) {
        caller.send(ORDER);
        Optional<RawResponse> second = caller.readResponse(false);
        assertWithMessage("second: %s", second.map(RawResponse::status))
            .that(target.runCount("k1"))
            .isEqualTo(1);
      }
    }
  }

  @Test
  void idleConnectionIsReadAfterResponseThatFilledTheCallersBuffer() throws Exception {
    // The last read of the response must be the one that fills the buffer.
    List<String> wrong = new ArrayList<>();
    for (int length = 60_000; length <= 200_000; length += 10_000) {
      String second = secondResponseAfterStrayBytes(length);
      if (!second.equals("200 ok")) {
        wrong.add(length + ": " + second);
      }
    }
    assertThat(wrong).isEmpty();
  }

  private static String secondResponseAfterStrayBytes(int length) throws Exception {
    CountDownLatch served = new CountDownLatch(1);
    HostileTarget.Script writingStrayBytes =
        connection -> {
          if (connection.readAndCountRun().isEmpty()) {
            return;
          }
          if (connection.number() == 1) {
            connection.write(
                "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"
                    .formatted(length, "b".repeat(length)));
            served.await();
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray");
            connection.readAndCountRun();
          } else {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
          }
        };
    try (HostileTarget target = new HostileTarget(writingStrayBytes);
        EntryFixture entry =
            new EntryFixture(new RotatingDispatcher(List.of(target.id())), Parameters.NONE);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET);
      assertThat(caller.readResponse(false).orElseThrow().body()).hasLength(length);
      served.countDown();
      Thread.sleep(SETTLE_MS);
      caller.send(GET);
      return caller
          .readResponse(false)
          .map(each -> each.status() + " " + each.body())
          .orElse("lost");
    }
  }
}
