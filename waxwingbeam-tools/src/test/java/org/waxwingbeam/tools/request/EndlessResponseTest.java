package org.waxwingbeam.tools.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.NativeCallerAdapter;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.target.net.TargetAdapter;
import org.waxwingbeam.target.net.TargetConnections;
import org.waxwingbeam.target.net.TargetProber;
import org.waxwingbeam.target.placement.ProbeRequest;
import org.waxwingbeam.target.placement.ProbeResult;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RawRequest;
import org.waxwingbeam.tools.testing.RawResponse;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** A target sends one part of a response without end, to a request or to a status check. */
@Timeout(120)
class EndlessResponseTest {
  private static final int DEADLINE_MS = 300;
  private static final long END_LIMIT_MS = 2_500;
  private static final long DRIP_INTERVAL_MS = 10;
  private static final int FLOOD_BLOCK_BYTES = 65_536;

  /** Includes what the socket buffers of both ends can hold. */
  private static final long MAX_FLOOD_BYTES = 16L << 20;

  private static final int PARALLEL_CASES = 8;
  private static final int STATUS_START = "HTTP/1.1 ".length();
  private static final int STATUS_END = STATUS_START + 3;
  private static final int BUFFERED_BYTES = 65_536;
  private static final String GET =
      "GET /listings/one HTTP/1.1\r\nhost: alpha.orders.example\r\nconnection: close\r\n\r\n";
  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = STATUS_LINE + "transfer-encoding: chunked\r\n\r\n";
  private static final String WHOLE = STATUS_LINE + "content-length: 5\r\n\r\nwhole";
  private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nwaxwingbeam-refused: overloaded\r\n";

  private static final Map<Case, Future<Outcome>> OUTCOMES = new HashMap<>();

  /** The part of a response that never ends: what is sent first, and what is repeated. */
  enum Part {
    BLANK_LINES("", "\r\n"),
    CONTROL_CHARACTERS("", "\u0001"),
    STATUS_LINE_TEXT("HTTP/1.1 200 ", "a"),
    INTERIM_RESPONSES("", "HTTP/1.1 103 Hints\r\n\r\n"),
    INTERIM_HEAD("HTTP/1.1 103 Hints\r\n", "a: b\r\n"),
    INTERIM_CONTENT("HTTP/1.1 103 Hints\r\ncontent-length: 1000000000\r\n\r\n", "x"),
    HEAD_LINES(STATUS_LINE, "a: b\r\n"),
    HEAD_VALUE(STATUS_LINE + "a: ", "b"),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "1;a=", "b"),
    CHUNK_EXTENSIONS(CHUNKED, "1;a=" + "b".repeat(1_000) + "\r\nx\r\n"),
    TRAILER_LINES(CHUNKED + "0\r\n", "a: b\r\n"),
    TRAILER_VALUE(CHUNKED + "0\r\na: ", "b"),
    SMALL_CHUNKS(CHUNKED, "1\r\nx\r\n"),
    BODY_BY_LENGTH(STATUS_LINE + "content-length: 1000000000000\r\n\r\n", "x"),
    BODY_UNTIL_CLOSE(STATUS_LINE + "\r\n", "x"),
    REFUSAL_BY_LENGTH(REFUSAL + "content-length: 1000000000000\r\n\r\n", "x"),
    REFUSAL_IN_CHUNKS(REFUSAL + "transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    BYTES_AFTER_RESPONSE(WHOLE, "x"),
    BLANK_LINES_AFTER_RESPONSE(WHOLE, "\r\n");

    private final String start;
    private final String unit;

    Part(String start, String unit) {
      this.start = start;
      this.unit = unit;
    }

    /** Returns whether the caller gets this part as it arrives, so that only time bounds it. */
    boolean isPassedOn() {
      return switch (this) {
        case SMALL_CHUNKS, BODY_BY_LENGTH, BODY_UNTIL_CLOSE -> true;
        default -> false;
      };
    }

    boolean isAfterResponse() {
      return this == BYTES_AFTER_RESPONSE || this == BLANK_LINES_AFTER_RESPONSE;
    }
  }

  enum Speed {
    FLOOD,
    DRIP
  }

  enum Receiver {
    STREAMED_REQUEST,
    BUFFERED_REQUEST,
    STATUS_CHECK
  }

  record Case(Receiver receiver, Part part, Speed speed) {
    /** With a long deadline, a flood must be ended by the number of its bytes. */
    boolean isBoundedByBytes() {
      return speed == Speed.FLOOD && (receiver == Receiver.STATUS_CHECK || !part.isPassedOn());
    }
  }

  /**
   * What a case led to.
   *
   * @param connectionEnded whether the target saw the end of its connection in time
   * @param writtenBytes bytes that the target could write until then
   * @param result what the caller got, or the result of the status check
   */
  record Outcome(boolean connectionEnded, long writtenBytes, String result) {}

  static Stream<Case> cases() {
    return Arrays.stream(Receiver.values())
        .flatMap(
            receiver ->
                Arrays.stream(Part.values())
                    .flatMap(
                        part ->
                            Arrays.stream(Speed.values())
                                .map(speed -> new Case(receiver, part, speed))));
  }

  @BeforeAll
  static void playAllCases() {
    ExecutorService players = Executors.newFixedThreadPool(PARALLEL_CASES);
    cases().forEach(each -> OUTCOMES.put(each, players.submit(() -> play(each))));
    players.shutdown();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void connectionEndsInTime(Case each) throws Exception {
    assertThat(OUTCOMES.get(each).get().connectionEnded()).isTrue();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void fewBytesAreReadThatAreOfNoUse(Case each) throws Exception {
    if (each.isBoundedByBytes()) {
      assertThat(OUTCOMES.get(each).get().writtenBytes()).isLessThan(MAX_FLOOD_BYTES);
    }
  }

  @ParameterizedTest
  @MethodSource("cases")
  void finalResultIsNeverAnEndlessResponseThatLooksWhole(Case each) throws Exception {
    String result = OUTCOMES.get(each).get().result();
    if (each.part().isAfterResponse()) {
      assertThat(result).isAnyOf("200", "answered");
    } else {
      assertThat(result).isNotEqualTo("none");
      assertWithMessage(result).that(result).doesNotMatch("2..");
    }
  }

  @Test
  void longTransferInOneByteChunksIsNotTakenForAnEndlessOne() throws Exception {
    int length = 200_000;
    HostileTarget.Script script =
        connection -> {
          connection.readAndCountRun();
          connection.write(CHUNKED + "1\r\nx\r\n".repeat(length) + "0\r\n\r\n");
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = ordinaryEntry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET.replace("/listings/", "/transfers/"));

      assertThat(caller.readResponse(false).map(each -> each.body().length())).hasValue(length);
    }
  }

  @Test
  void refusalWhoseShortBodyComesLaterKeepsItsConnection() throws Exception {
    HostileTarget.Script script =
        connection -> {
          String firstId = idHeader(connection.readAndCountRun().orElseThrow());
          connection.write(REFUSAL + firstId + "content-length: 2\r\n\r\n");
          Thread.sleep(100);
          connection.write("no");
          String secondId = idHeader(connection.readAndCountRun().orElseThrow());
          connection.write(WHOLE.replace("content-length", secondId + "content-length"));
        };
    try (HostileTarget target = new HostileTarget(script);
        EntryFixture entry = ordinaryEntry(target);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      String get = GET.replace("connection: close\r\n", "");
      caller.send(get);
      assertThat(caller.readResponse(false).map(RawResponse::status)).hasValue(503);
      Thread.sleep(1_200);
      caller.send(get);

      assertThat(caller.readResponse(false).map(RawResponse::body)).hasValue("whole");
      assertThat(target.connections()).isEqualTo(1);
    }
  }

  private static String idHeader(RawRequest request) {
    String name = "waxwingbeam-request-id";
    return "%s: %s\r\n".formatted(name, request.header(name).orElseThrow());
  }

  private static EntryFixture ordinaryEntry(HostileTarget target) {
    return new EntryFixture(new RotatingDispatcher(List.of(target.id())), Parameters.NONE);
  }

  private static Outcome play(Case each) throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    AtomicLong written = new AtomicLong();
    HostileTarget.Script script =
        connection -> {
          try {
            if (connection.readAndCountRun().isPresent()) {
              writeWithoutEnd(connection, each, written);
            }
          } finally {
            ended.countDown();
          }
        };
    try (HostileTarget target = new HostileTarget(script)) {
      return each.receiver() == Receiver.STATUS_CHECK
          ? check(target, ended, written)
          : request(each, target, ended, written);
    }
  }

  private static void writeWithoutEnd(
      HostileTarget.Connection connection, Case each, AtomicLong written)
      throws IOException, InterruptedException {
    Part part = each.part();
    String block =
        each.speed() == Speed.DRIP
            ? part.unit
            : part.unit.repeat(FLOOD_BLOCK_BYTES / part.unit.length());
    byte[] bytes = block.getBytes(ISO_8859_1);
    connection.write(part.start);
    while (true) {
      if (each.speed() == Speed.DRIP) {
        Thread.sleep(DRIP_INTERVAL_MS);
      }
      connection.write(bytes);
      written.addAndGet(bytes.length);
    }
  }

  private static Outcome request(
      Case each, HostileTarget target, CountDownLatch ended, AtomicLong written) throws Exception {
    Parameters parameters =
        each.isBoundedByBytes()
            ? Parameters.NONE
            : Parameters.NONE.with(Parameter.DEADLINE, DEADLINE_MS);
    int bufferBytes = each.receiver() == Receiver.BUFFERED_REQUEST ? BUFFERED_BYTES : 0;
    ExchangeContext.Protocols protocols =
        new ExchangeContext.Protocols(
            new NativeCallerAdapter(), new CloseDelimitedAdapter(), bufferBytes);
    try (EntryFixture entry =
            new EntryFixture(
                new RotatingDispatcher(List.of(target.id())),
                parameters,
                EntryFixture.ORDINARY_LIMITS,
                EntryFixture.InstanceServices.unshared(),
                protocols);
        RawCaller caller = new RawCaller(entry.endpoint())) {
      caller.send(GET);
      String result = readToEnd(caller);
      boolean inTime = ended.await(END_LIMIT_MS, TimeUnit.MILLISECONDS);
      return new Outcome(inTime, written.get(), result);
    }
  }

  /** Returns the status of the response, "cut" after a reset, or "none" if it has no end. */
  private static String readToEnd(RawCaller caller) throws IOException {
    caller.socket().setSoTimeout((int) END_LIMIT_MS);
    InputStream in = caller.socket().getInputStream();
    byte[] block = new byte[FLOOD_BLOCK_BYTES];
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_LIMIT_MS);
    StringBuilder start = new StringBuilder();
    try {
      for (int count = in.read(block); count >= 0; count = in.read(block)) {
        int kept = Math.min(count, STATUS_END - start.length());
        start.append(new String(block, 0, kept, ISO_8859_1));
        if (System.nanoTime() > end) {
          return "none";
        }
      }
    } catch (SocketTimeoutException silent) {
      return "none";
    } catch (SocketException reset) {
      return "cut";
    }
    return start.length() < STATUS_END ? "cut" : start.substring(STATUS_START);
  }

  private static Outcome check(HostileTarget target, CountDownLatch ended, AtomicLong written)
      throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      TargetAdapter adapter = new CloseDelimitedAdapter();
      TargetConnections connections =
          new TargetConnections(adapter, (int) TimeUnit.SECONDS.toMillis(1));
      TargetProber prober = new TargetProber(connections, adapter, loops.next());
      CompletableFuture<ProbeResult> result = new CompletableFuture<>();
      prober.probe(new ProbeRequest(target.id(), "one", "/health", 1), 1, result::complete);
      String found =
          switch (result.get(END_LIMIT_MS, TimeUnit.MILLISECONDS)) {
            case ProbeResult.Answered answered -> "answered";
            case ProbeResult.Unanswered unanswered -> "unanswered";
            case ProbeResult.Unreachable unreachable -> "unreachable";
          };
      boolean inTime = ended.await(END_LIMIT_MS, TimeUnit.MILLISECONDS);
      return new Outcome(inTime, written.get(), found);
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
