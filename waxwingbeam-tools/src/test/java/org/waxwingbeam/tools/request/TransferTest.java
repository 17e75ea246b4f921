package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Tests long transfers: their limits, back-pressure and the drain of an entry instance. */
@Timeout(60)
class TransferTest {
  private static final String DOWNLOAD =
      "GET /transfers/interview HTTP/1.1\r\nhost: alpha.orders.example\r\n\r\n";
  private static final int PARTS = 40;
  private static final String PART = "interview ".repeat(100);

  @Test
  void transferOutlivesItsDeadlineAndTheStopOfItsEntryInstance() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    Parameters parameters = Parameters.NONE.with(Parameter.DEADLINE, 50);
    try (HostileTarget target = new HostileTarget(connection -> send(connection, begun));
        EntryFixture entry = entry(target, parameters);
        RawCaller idle = new RawCaller(entry.endpoint());
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(DOWNLOAD);
      begun.await();
      entry.drain();

      assertThat(idle.isClosedByPeer()).isTrue();
      try (RawCaller late = new RawCaller(entry.endpoint())) {
        late.send(DOWNLOAD);
        RawResponse refusal = late.readResponse(false).orElseThrow();
        assertThat(refusal.header("waxwingbeam-error")).hasValue("shutting-down");
        assertThat(refusal.header("waxwingbeam-run")).hasValue("no");
        assertThat(refusal.header("connection")).hasValue("close");
      }
      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue(PART.repeat(PARTS));
      assertThat(caller.isClosedByPeer()).isTrue();
      assertThat(entry.activeExchanges()).isEqualTo(0);
    }
  }

  @Test
  void stalledTransferIsTruncatedVisibly() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.TRANSFER_IDLE, 60);
    HostileTarget.Script stalling =
        connection -> {
          connection.readAndCountRun();
          connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n");
          connection.readAndCountRun();
        };
    assertThat(download(stalling, parameters)).isEmpty();
  }

  @Test
  void transferBeyondItsTotalLimitIsTruncatedVisibly() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.TRANSFER_TOTAL, 60);
    assertThat(download(connection -> send(connection, new CountDownLatch(1)), parameters))
        .isEmpty();
  }

  @Test
  void transferBeyondItsSizeLimitIsTruncatedVisibly() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.RESPONSE_BODY_LIMIT, 64 << 10);
    HostileTarget.Script endless =
        connection -> {
          connection.readAndCountRun();
          connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
          for (int i = 0; i < 200; i++) {
            connection.write("3e8\r\n%s\r\n".formatted(PART.substring(0, 1_000)));
          }
          connection.write("0\r\n\r\n");
        };
    assertThat(download(endless, parameters)).isEmpty();
  }

  @Test
  void uploadMayTakeLongerThanItsDeadline() throws Exception {
    Parameters parameters = Parameters.NONE.with(Parameter.DEADLINE, 100);
    HostileTarget.Script receiving =
        connection -> {
          int length = connection.readAndCountRun().orElseThrow().body().length();
          String body = "took " + length;
          connection.write(
              "HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s".formatted(body.length(), body));
        };
    try (HostileTarget target = new HostileTarget(receiving);
        EntryFixture entry = entry(target, parameters);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(
          DOWNLOAD
              .replace("GET /transfers/interview", "POST /uploads/x")
              .replace("\r\n\r\n", "\r\ncontent-length: 200000\r\n\r\n"));
      for (int i = 0; i < 20; i++) {
        caller.send("u".repeat(10_000));
        Thread.sleep(10);
      }

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("took 200000");
    }
  }

  @Test
  void callerThatDoesNotReadStopsTheTargetInsteadOfFillingTheEntry() throws Exception {
    List<Integer> writtenBlocks = new ArrayList<>();
    HostileTarget.Script flooding =
        connection -> {
          connection.readAndCountRun();
          connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n");
          byte[] block = new byte[1 << 20];
          for (int i = 0; i < 900; i++) {
            connection.write(block);
            synchronized (writtenBlocks) {
              writtenBlocks.add(i);
            }
          }
        };
    try (HostileTarget target = new HostileTarget(flooding);
        EntryFixture entry = entry(target, Parameters.NONE);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(DOWNLOAD);
      int previousCount = -1;
      int count = 0;
      while (count != previousCount || count == 0) {
        Thread.sleep(300);
        previousCount = count;
        synchronized (writtenBlocks) {
          count = writtenBlocks.size();
        }
      }
      // Socket buffers on the path hold a few megabytes; the entry instance must not buffer the
      // rest.
      assertThat(count).isLessThan(100);
    }
  }

  private static Optional<RawResponse> download(HostileTarget.Script script, Parameters parameters)
      throws IOException {
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = entry(target, parameters);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(DOWNLOAD);
      return caller.readResponse(false);
    }
  }

  private static void send(HostileTarget.Connection connection, CountDownLatch begun)
      throws IOException, InterruptedException {
    connection.readAndCountRun();
    connection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    for (int i = 0; i < PARTS; i++) {
      connection.write("%x\r\n%s\r\n".formatted(PART.length(), PART));
      begun.countDown();
      Thread.sleep(5);
    }
    connection.write("0\r\n\r\n");
  }

  private static EntryFixture entry(HostileTarget target, Parameters parameters) {
    return new EntryFixture(new RotatingDispatcher(List.of(target.id())), parameters);
  }
}
