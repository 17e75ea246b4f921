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

/** A target at which each attempt meets the next planned fault of a queue shared by targets. */
final class FaultyTarget implements AutoCloseable {
  private static final long LATE_MS = 400;
  private static final long BEFORE_RESET_MS = 2;

  private final ConcurrentLinkedQueue<Fault> plan;
  private final SplittableRandom random;
  private final HostileTarget target;

  FaultyTarget(ConcurrentLinkedQueue<Fault> plan, SplittableRandom random) throws IOException {
    this.plan = plan;
    this.random = random;
    this.target = new HostileTarget(this::serve);
  }

  TargetId id() {
    return target.id();
  }

  int runs(String requestCase) {
    return target.runs(requestCase);
  }

  /** Returns the body that the run of a request is answered with. */
  static String body(String requestCase) {
    return "answer to " + requestCase + " " + "x".repeat(Math.floorMod(requestCase.hashCode(), 50));
  }

  private void serve(Connection connection) throws IOException, InterruptedException {
    if (plan.peek() == Fault.RESET_ON_CONNECT) {
      plan.poll();
      connection.reset();
      return;
    }
    boolean open = true;
    while (open && connection.awaitRequest()) {
      Fault fault = Optional.ofNullable(plan.poll()).orElse(Fault.NONE);
      open = attempt(connection, fault);
    }
  }

  private boolean attempt(Connection connection, Fault fault)
      throws IOException, InterruptedException {
    if (fault == Fault.RESET_IN_REQUEST || fault == Fault.RESET_ON_CONNECT) {
      connection.readBytes(below(60));
      connection.reset();
      return false;
    }
    if (fault == Fault.REFUSED) {
      return connection.readUnrun().map(request -> refuse(connection)).orElse(false);
    }
    Optional<RawRequest> request = connection.run();
    return request.isPresent() && respond(connection, fault, request.get());
  }

  private static boolean refuse(Connection connection) {
    try {
      connection.write(
          "HTTP/1.1 503 No\r\nwaxwingbeam-refused: overloaded\r\ncontent-length: 2\r\n\r\nno");
      return true;
    } catch (IOException gone) {
      return false;
    }
  }

  private boolean respond(Connection connection, Fault fault, RawRequest request)
      throws IOException, InterruptedException {
    String id = request.header(HostileTarget.CASE_HEADER).orElse("none");
    String requestId = request.header(TargetProtocol.REQUEST_ID_HEADER).orElse("none");
    Texts texts = new Texts(requestId, body(id));
    switch (fault) {
      case RESET_AFTER_RUN -> connection.reset();
      case CLOSE_AFTER_RUN -> connection.close();
      case CUT_ANSWER -> cut(connection, texts.plain());
      case CUT_CHUNKED_ANSWER -> cut(connection, texts.chunked());
      case LATE_ANSWER -> {
        Thread.sleep(LATE_MS);
        connection.write(texts.plain());
      }
      case TWO_ANSWERS -> connection.write(texts.plain() + texts.plain());
      case LONG_ANSWER -> connection.write(texts.plain() + "surplus");
      case FOREIGN_ANSWER -> connection.write(new Texts("foreign", body("other")).plain());
      case PROVISIONAL_ANSWERS -> connection.write(Texts.PROVISIONAL + texts.chunked());
      case UNDELIMITED_ANSWER -> connection.write(texts.undelimited());
      case AMBIGUOUS_ANSWER -> connection.write(texts.ambiguous());
      case GARBAGE -> connection.write("+OK ready\r\n\r\n");
      case RESET_AFTER_ANSWER -> {
        connection.write(texts.plain());
        Thread.sleep(BEFORE_RESET_MS);
        connection.reset();
      }
      default -> connection.write(below(2) == 0 ? texts.plain() : texts.chunked());
    }
    return !ENDING.contains(fault);
  }

  private static final List<Fault> ENDING =
      List.of(
          Fault.RESET_AFTER_RUN,
          Fault.CLOSE_AFTER_RUN,
          Fault.CUT_ANSWER,
          Fault.CUT_CHUNKED_ANSWER,
          Fault.UNDELIMITED_ANSWER,
          Fault.RESET_AFTER_ANSWER);

  private void cut(Connection connection, String answer) throws IOException {
    connection.write(answer.substring(0, below(answer.length())));
    if (below(2) == 0) {
      connection.reset();
    } else {
      connection.close();
    }
  }

  private int below(int bound) {
    synchronized (random) {
      return random.nextInt(bound);
    }
  }

  @Override
  public void close() throws IOException {
    target.close();
  }

  /** The forms of one answer. */
  private record Texts(String requestId, String body) {
    static final String PROVISIONAL =
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
