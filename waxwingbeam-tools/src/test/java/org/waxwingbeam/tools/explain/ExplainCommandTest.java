package org.waxwingbeam.tools.explain;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.daemon.ExitCode;

class ExplainCommandTest {
  private static final String ENTRY_LOG =
      """
      time=2026-10-20T10:00:00.500Z level=info logger=RoutedEntry event=routing-applied revision=7 document=12 data_centres_out=[a] moves=0
      time=2026-10-20T10:00:01Z level=info logger=TargetLog event=target-changed target=i-1 address=10.0.0.1:80 service=s version=v1 state=READY
      time=2026-10-20T10:00:05Z level=info logger=RequestLog event=request-ended request=other route=r service=s idempotent=true result=answered duration_ms=9 left_ms=900 attempts="10.0.0.1:80@0-9ms:answered" sampled=64 left_out=0
      time=2026-10-20T10:00:06.402Z level=info logger=RequestLog event=request-ended request=q-1 route=r service=s idempotent=true result=deadline-exceeded duration_ms=402 left_ms=-2 attempts="none@151-151ms:overloaded 10.0.0.1:80@3-402ms:given-up-timed_out(outstanding=1.0,report_age_ms=6)" sampled=1 left_out=0
      time=2026-10-20T10:00:07Z level=info logger=RoutedEntry event=routing-applied revision=8 document=13 data_centres_out=[] moves=0
      """;
  private static final String CONTROL_LOG =
      """
      time=2026-10-20T10:00:01Z level=info logger=RoutedControl event=replica-leads instance=control-1 term=3
      time=2026-10-20T10:00:05.500Z level=info logger=RoutedControl event=order kind=PUT_DOCUMENT outcome="Accepted []"
      not a line of a log
      """;
  private static final String EXPLANATION =
      """
      request q-1 at entry.log, 2026-10-20T10:00:06Z
           +0 ms  arrived: route=r service=s idempotent=true; routing known for 5.5 s: revision=7 document=12 data_centres_out=[a] moves=0
           +3 ms  sent to 10.0.0.1:80 (outstanding=1.0,report_age_ms=6); target known for 5.0 s: target=i-1 address=10.0.0.1:80 service=s version=v1 state=READY
         +151 ms  no target: overloaded
         +402 ms  10.0.0.1:80: given-up-timed_out
         +402 ms  ended: deadline-exceeded, -2 ms left
      meanwhile, at all processes:
         -500 ms  control.log order kind=PUT_DOCUMENT outcome=Accepted []
      """;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path folder;

  private String write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  private ExitCode run(String standardInput, String... arguments) throws IOException {
    return new ExplainCommand(new ByteArrayInputStream(standardInput.getBytes(UTF_8)))
        .run(
            List.of(arguments),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8));
  }

  @Test
  void pathOfRequestIsPrintedWithWhatWasKnown() throws Exception {
    String control = write("control.log", CONTROL_LOG);

    assertThat(run("", "q-1", control, write("entry.log", ENTRY_LOG))).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8)).isEqualTo(EXPLANATION);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "waxwingbeam explain: warning: %s: skipped 1 lines that are not lines of a log\n"
                .formatted(control));
  }

  @Test
  void processNamedBeforeTheTimeIsTheSource() throws Exception {
    String collected =
        ENTRY_LOG.replaceAll("(?m)^time=", "  5.1 entry-1 time=")
            + CONTROL_LOG.replaceAll("(?m)^time=", "  5.1 control-1 time=");

    assertThat(run(collected, "q-1")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8))
        .isEqualTo(EXPLANATION.replace("entry.log", "entry-1").replace("control.log", "control-1"));
  }

  @Test
  void unknownRequestIsNamed() throws Exception {
    assertThat(run(ENTRY_LOG, "q-2", "-")).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            "waxwingbeam explain: request 'q-2': expected an id that a log names, found none in 5"
                + " lines; of requests that were in time, one in 64 is logged\n");
  }

  @Test
  void missingFileAndMissingIdAreUsageErrors() throws Exception {
    assertThat(run("", "q-1", "absent.log")).isEqualTo(ExitCode.USAGE);
    assertThat(run("")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo(
            """
            waxwingbeam explain: 'absent.log': expected a log file, found none
            waxwingbeam explain: expected a request id
            """);
  }

  @Test
  void helpNamesArgumentsAndExitCodes() throws Exception {
    assertThat(run("", "--help")).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8))
        .isEqualTo(
            """
            Usage: waxwingbeam explain REQUEST-ID [LOG-FILE]...

            Prints from the logs of entry instances and control replicas what happened to a
            request: its attempts, what the entry instance knew when it made them, and what
            changed meanwhile. Without a file, or for '-', standard input is read.

            Options:
              --help  print this text

            Exit codes:
              0  done; a change that was made is in force
              1  failed while running
              2  the command line or the settings are wrong; nothing was done
            """);
  }
}
