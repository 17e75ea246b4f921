package org.waxwingbeam.caller.net;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.caller.RoutePolicy;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;

class RequestLogTest {
  private static final int MAX_LINES_PER_SECOND = 100;

  private final Logger logger = Logger.getLogger(RequestLog.class.getName());
  private final LineCollector lines = new LineCollector();
  private final RequestLog log = new RequestLog();

  @BeforeEach
  void attach() {
    logger.addHandler(lines);
  }

  @AfterEach
  void detach() {
    logger.removeHandler(lines);
  }

  @Test
  void refusedRequestIsLoggedWithWhatItAskedFor() {
    log.logRefusal(0, refusal("/tapes/7"));

    assertThat(lines.texts)
        .containsExactly(
            "event=request-refused request=id-1 kind=no-route method=GET host=listings.example"
                + " path=/tapes/7 reason=none left_out=0");
  }

  @Test
  void longPathOfRefusedRequestIsShortened() {
    log.logRefusal(0, refusal("/" + "x".repeat(5_000)));

    assertThat(lines.texts.getFirst().length()).isLessThan(300);
  }

  @Test
  void linesOfRefusedRequestsAreLimitedPerSecond() {
    for (int i = 0; i < MAX_LINES_PER_SECOND + 50; i++) {
      log.logRefusal(0, refusal("/tapes/7"));
    }
    log.logRefusal(1_000_000_000, refusal("/tapes/7"));

    assertThat(lines.texts).hasSize(MAX_LINES_PER_SECOND + 1);
    assertThat(lines.texts.getLast()).endsWith("left_out=50");
  }

  @Test
  void everyRequestThatGetsClientErrorOfTargetIsLogged() {
    for (int i = 0; i < 10; i++) {
      log.logRequest(0, answeredWith(404));
    }

    assertThat(lines.texts).hasSize(10);
    assertThat(lines.texts.getLast()).contains("result=answered target_status=404");
    assertThat(lines.texts.getLast()).contains("configuration=42");
  }

  private static RequestLog.Refusal refusal(String path) {
    return new RequestLog.Refusal(
        Optional.of("id-1"),
        ErrorKind.NO_ROUTE,
        Optional.of("GET"),
        Optional.of("listings.example"),
        Optional.of(path),
        Optional.empty());
  }

  private static RequestLog.RequestSummary answeredWith(int status) {
    RoutePolicy policy =
        new RoutePolicy(
            new TemplateName("routes"),
            new ServiceName("listing"),
            new AccountName("common"),
            new RouteName("browse"),
            true,
            false,
            Parameters.NONE);
    RequestLog.AttemptSummary attempt =
        new RequestLog.AttemptSummary(Optional.empty(), Optional.empty(), 0, 1, Exchange.ANSWERED);
    return new RequestLog.RequestSummary(
        "id-1", policy, 42, List.of(attempt), Exchange.ANSWERED, OptionalInt.of(status), 1, 1);
  }

  private static final class LineCollector extends Handler {
    private final List<String> texts = new ArrayList<>();

    @Override
    public void publish(LogRecord line) {
      texts.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }
}
