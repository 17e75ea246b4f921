package org.waxwingbeam.tools.measure.requests;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.target.TargetProtocol;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.HostileTarget.Connection;
import org.waxwingbeam.tools.testing.RawRequest;

/** A target that applies to each attempt the next fault of a queue, which all targets share. */
final class FaultyTarget implements AutoCloseable {
  private static final long LATE_RESPONSE_MS = 400;
  private static final long RESET_DELAY_MS = 2;

  private final ConcurrentLinkedQueue<Fault> plannedFaults;
  private final SplittableRandom random;
  private final HostileTarget target;

  FaultyTarget(ConcurrentLinkedQueue<Fault> plannedFaults, SplittableRandom random)
      throws IOException {
    this.plannedFaults = plannedFaults;
    this.random = random;
    this.target = new HostileTarget(this::serve);
  }

  TargetId id() {
    return target.id();
  }

  int runCount(String caseId) {
    return target.runCount(caseId);
  }

  /** Returns the response body that a run of a request yields. */
  static String expectedBody(String caseId) {
    return "answer to " + caseId + " " + "x".repeat(Math.floorMod(caseId.hashCode(), 50));
  }

  private void serve(Connection connection) throws IOException, InterruptedException {
    if (plannedFaults.peek() == Fault.RESET_ON_CONNECT) {
      plannedFaults.poll();
      connection.reset();
      return;
    }
    boolean open = true;
    while (open && connection.awaitRequest()) {
      Fault fault = Optional.ofNullable(plannedFaults.poll()).orElse(Fault.NONE);
      open = handleAttempt(connection, fault);
    }
  }

  private boolean handleAttempt(Connection connection, Fault fault)
      throws IOException, InterruptedException {
    if (fault == Fault.RESET_IN_REQUEST || fault == Fault.RESET_ON_CONNECT) {
      connection.readBytes(randomBelow(60));
      connection.reset();
      return false;
    }
    if (fault == Fault.REFUSED) {
      return connection.readWithoutRunning().map(request -> sendRefusal(connection)).orElse(false);
    }
    Optional<RawRequest> request = connection.readAndCountRun();
    return request.isPresent() && respond(connection, fault, request.get());
  }

  private static boolean sendRefusal(Connection connection) {
    try {
      connection.write(
          "HTTP/1.1 503 No\r\nwaxwingbeam-refused: overloaded\r\ncontent-length: 2\r\n\r\nno");
      return true;
    } catch (IOException closed) {
      return false;
    }
  }

  private boolean respond(Connection connection, Fault fault, RawRequest request)
      throws IOException, InterruptedException {
    String caseId = request.header(HostileTarget.CASE_HEADER).orElse("none");
    String requestId = request.header(TargetProtocol.REQUEST_ID_HEADER).orElse("none");
    ResponseTexts texts = new ResponseTexts(requestId, expectedBody(caseId));
    switch (fault) {
      case RESET_AFTER_RUN -> connection.reset();
      case CLOSE_AFTER_RUN -> connection.close();
      case CUT_ANSWER -> writeTruncated(connection, texts.plain());
      case CUT_CHUNKED_ANSWER -> writeTruncated(connection, texts.chunked());
      case LATE_ANSWER -> {
        Thread.sleep(LATE_RESPONSE_MS);
        connection.write(texts.plain());
      }
      case TWO_ANSWERS -> connection.write(texts.plain() + texts.plain());
      case LONG_ANSWER -> connection.write(texts.plain() + "surplus");
      case FOREIGN_ANSWER ->
          connection.write(new ResponseTexts("foreign", expectedBody("other")).plain());
      case PROVISIONAL_ANSWERS ->
          connection.write(ResponseTexts.PROVISIONAL_RESPONSES + texts.chunked());
      case UNDELIMITED_ANSWER -> connection.write(texts.undelimited());
      case AMBIGUOUS_ANSWER -> connection.write(texts.ambiguous());
      case GARBAGE -> connection.write("+OK ready\r\n\r\n");
      case RESET_AFTER_ANSWER -> {
        connection.write(texts.plain());
        Thread.sleep(RESET_DELAY_MS);
        connection.reset();
      }
      default -> connection.write(randomBelow(2) == 0 ? texts.plain() : texts.chunked());
    }
    return !CONNECTION_ENDING_FAULTS.contains(fault);
  }

  private static final List<Fault> CONNECTION_ENDING_FAULTS =
      List.of(
          Fault.RESET_AFTER_RUN,
          Fault.CLOSE_AFTER_RUN,
          Fault.CUT_ANSWER,
          Fault.CUT_CHUNKED_ANSWER,
          Fault.UNDELIMITED_ANSWER,
          Fault.RESET_AFTER_ANSWER);

  private void writeTruncated(Connection connection, String response) throws IOException {
    connection.write(response.substring(0, randomBelow(response.length())));
    if (randomBelow(2) == 0) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  private int randomBelow(int bound) {
    synchronized (random) {
      return random.nextInt(bound);
    }
  }

  @Override
  public void close() throws IOException {
    target.close();
  }

  /** The texts of one response in several framings. */
  private record ResponseTexts(String requestId, String body) {
    static final String PROVISIONAL_RESPONSES =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

    private String head() {
      return "HTTP/1.1 200 OK\r\n%s: %s\r\n".formatted(TargetProtocol.REQUEST_ID_HEADER, requestId);
    }

    String plain() {
      return head() + "content-length: %d\r\n\r\n%s".formatted(body.length(), body);
    }

    String chunked() {
      return head()
          + "transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
              .formatted(body.length(), body);
    }

    String undelimited() {
      return head() + "\r\n" + body;
    }

    String ambiguous() {
      return head()
          + "content-length: %d\r\ncontent-length: 3\r\n\r\n%s".formatted(body.length(), body);
    }
  }
}
