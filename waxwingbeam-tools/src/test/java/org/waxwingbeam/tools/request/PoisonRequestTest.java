package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
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

/** Tests which requests are refused because they crash targets. */
@Timeout(60)
class PoisonRequestTest {
  private static final String OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  private static final String TORN = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nto";
  private static final String NOTHING = "";

  /** Time in which a part of a response arrives before a reset would discard it. */
  private static final long SETTLE_MS = 20;

  private static final String CUT = "cut";
  private static final String REFUSED = "422 poison-request no";
  private static final String GET =
      "GET /listings/one HTTP/1.1\r\nhost: alpha.orders.example\r\nx-case: one\r\n\r\n";
  private static final String ORDER =
      "POST /orders HTTP/1.1\r\nhost: alpha.orders.example\r\nx-case: bad\r\n"
          + "content-length: 2\r\n\r\nhi";

  @Test
  void requestTornInTheResponseAtTwoTargetsThatLiveOnIsNotRefused() throws Exception {
    try (HostileTarget first = tearingOnce(TORN);
        HostileTarget second = tearingOnce(TORN);
        EntryFixture entry = entry(2, first, second)) {
      assertThat(List.of(send(entry, GET), send(entry, GET), send(entry, GET)))
          .containsExactly(CUT, CUT, "ok")
          .inOrder();
    }
  }

  @Test
  void requestLostWithoutResponseAtTwoTargetsThatLiveOnIsSentToTheThird() throws Exception {
    try (HostileTarget first = tearingOnce(NOTHING);
        HostileTarget second = tearingOnce(NOTHING);
        HostileTarget third = tearingOnce(NOTHING);
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(send(entry, GET)).isEqualTo("502 target-lost unknown");
      assertThat(third.runCount("one")).isEqualTo(1);
      assertThat(send(entry, GET)).isEqualTo("ok");
    }
  }

  @Test
  void requestTornAtThreeTargetsThatLiveOnIsNotRefusedWithTheLimitOfRoutedServices()
      throws Exception {
    try (HostileTarget first = tearingOnce(NOTHING);
        HostileTarget second = tearingOnce(NOTHING);
        HostileTarget third = tearingOnce(NOTHING);
        EntryFixture entry = entry(3, first, second, third)) {
      assertThat(send(entry, GET)).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, GET)).isEqualTo("ok");
    }
  }

  @Test
  void requestThatCrashedOneTargetAndWasTornAtOneThatLivesOnIsNotRefused() throws Exception {
    try (HostileTarget crashing = crashing(NOTHING);
        HostileTarget tearing = tearingOnce(NOTHING);
        EntryFixture entry = entry(2, crashing, tearing)) {
      assertThat(send(entry, GET)).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, GET)).isEqualTo("ok");
    }
  }

  @Test
  void requestThatCrashesTargetsIsRefusedAfterTheSecond() throws Exception {
    try (HostileTarget first = crashing(NOTHING);
        HostileTarget second = crashing(NOTHING);
        HostileTarget third = crashing(NOTHING);
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(send(entry, GET)).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, GET)).isEqualTo(REFUSED);
      assertThat(third.connections()).isEqualTo(0);
    }
  }

  @Test
  void requestThatCrashesTargetsWithinTheResponseIsRefusedAfterTheSecond() throws Exception {
    try (HostileTarget first = crashing(TORN);
        HostileTarget second = crashing(TORN);
        HostileTarget third = crashing(TORN);
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(List.of(send(entry, GET), send(entry, GET), send(entry, GET)))
          .containsExactly(CUT, CUT, REFUSED)
          .inOrder();
      assertThat(third.connections()).isEqualTo(0);
    }
  }

  @Test
  void requestThatCrashesTargetsIsRefusedAfterTheThirdWithTheLimitOfRoutedServices()
      throws Exception {
    try (HostileTarget first = crashing(NOTHING);
        HostileTarget second = crashing(NOTHING);
        HostileTarget third = crashing(NOTHING);
        HostileTarget fourth = crashing(NOTHING);
        EntryFixture entry = entry(3, first, second, third, fourth)) {
      assertThat(send(entry, GET)).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, GET)).isEqualTo(REFUSED);
      assertThat(fourth.connections()).isEqualTo(0);
    }
  }

  @Test
  void requestSentAgainAtOnceIsRefusedAfterTheSecondCrash() throws Exception {
    try (HostileTarget first = crashingOn("bad");
        HostileTarget second = crashingOn("bad");
        HostileTarget third = crashingOn("bad");
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(List.of(send(entry, ORDER), send(entry, ORDER), send(entry, ORDER)))
          .containsExactly("502 target-lost unknown", "502 target-lost unknown", REFUSED)
          .inOrder();
      assertThat(third.runCount("bad")).isEqualTo(0);
    }
  }

  @Test
  void uploadIsNotRefusedBecauseAnotherOfTheSameLengthCrashedTargets() throws Exception {
    try (HostileTarget first = crashingOn("bad");
        HostileTarget second = crashingOn("bad");
        HostileTarget third = crashingOn("bad");
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(send(entry, upload("bad"))).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, upload("bad"))).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, upload("bad"))).isEqualTo(REFUSED);
      assertThat(send(entry, upload("good"))).isEqualTo("ok");
      assertThat(send(entry, chunkedUpload("good"))).isEqualTo("ok");
      assertThat(send(entry, upload("bad"))).isEqualTo(REFUSED);
      assertThat(third.runCount("bad")).isEqualTo(0);
    }
  }

  @Test
  void chunkedUploadIsNotRefusedBecauseAnotherCrashedTargets() throws Exception {
    try (HostileTarget first = crashingOn("bad");
        HostileTarget second = crashingOn("bad");
        HostileTarget third = crashingOn("bad");
        EntryFixture entry = entry(2, first, second, third)) {
      assertThat(send(entry, chunkedUpload("bad"))).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, chunkedUpload("bad"))).isEqualTo("502 target-lost unknown");
      assertThat(send(entry, chunkedUpload("bad"))).isEqualTo(REFUSED);
      assertThat(send(entry, chunkedUpload("good"))).isEqualTo("ok");
    }
  }

  /** Returns an upload of 100,000 bytes, which are longer than the buffer of an entry instance. */
  private static String upload(String kind) {
    return "POST /uploads/one HTTP/1.1\r\nhost: alpha.orders.example\r\nx-case: "
        + kind
        + "\r\ncontent-length: 100000\r\n\r\n"
        + uploadBody(kind);
  }

  private static String chunkedUpload(String kind) {
    return "POST /uploads/one HTTP/1.1\r\nhost: alpha.orders.example\r\nx-case: "
        + kind
        + "\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n"
        + uploadBody(kind)
        + "\r\n0\r\n\r\n";
  }

  private static String uploadBody(String kind) {
    return kind + ".".repeat(100_000 - kind.length());
  }

  /** Returns a target that one kind of request crashes, and that stays down. */
  private static HostileTarget crashingOn(String kind) throws IOException {
    return new HostileTarget(
        connection -> {
          Optional<RawRequest> request = connection.readAndCountRun();
          while (request.isPresent()) {
            if (request.get().header(HostileTarget.CASE_HEADER).equals(Optional.of(kind))) {
              connection.crashTarget();
              return;
            }
            connection.write(OK);
            request = connection.readAndCountRun();
          }
        });
  }

  /** Returns a target that loses its first connection after a part of the response. */
  private static HostileTarget tearingOnce(String part) throws IOException {
    return new HostileTarget(
        connection -> {
          while (connection.readAndCountRun().isPresent()) {
            if (connection.number() == 1) {
              connection.write(part);
              return;
            }
            connection.write(OK);
          }
        });
  }

  /** Returns a target that every request crashes within the response, and that stays down. */
  private static HostileTarget crashing(String part) throws IOException {
    return new HostileTarget(
        connection -> {
          if (connection.readAndCountRun().isPresent()) {
            connection.write(part);
            Thread.sleep(SETTLE_MS);
            connection.crashTarget();
          }
        });
  }

  private static EntryFixture entry(int crashLimit, HostileTarget... targets) {
    List<TargetId> ids = List.of(targets).stream().map(HostileTarget::id).toList();
    return new EntryFixture(
        new RotatingDispatcher(ids),
        Parameters.NONE.with(Parameter.RETRY_BUDGET, 100),
        EntryFixture.ORDINARY_LIMITS,
        new EntryFixture.InstanceServices(
            "entry-1", new TableClaimClient(), new PoisonRequestDetector(crashLimit)));
  }

  /** Returns the body of the response, the status and headers of an error, or {@link #CUT}. */
  private static String send(EntryFixture entry, String request) throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(request);
      Optional<RawResponse> response = caller.readResponse(false);
      return response.map(PoisonRequestTest::outcome).orElse(CUT);
    }
  }

  private static String outcome(RawResponse response) {
    return response
        .header("waxwingbeam-error")
        .map(
            kind ->
                "%d %s %s"
                    .formatted(
                        response.status(), kind, response.header("waxwingbeam-run").orElse("none")))
        .orElse(response.body());
  }
}
