package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.ErrorKind;

class ErrorReferencePageTest {
  @Test
  void pageIsUpToDate() throws Exception {
    Path page = Path.of(System.getProperty("waxwingbeam.root"), "docs", "ERRORS.md");

    assertThat(Files.readString(page)).isEqualTo(ErrorReferencePage.markdown());
  }

  @Test
  void noFailureThatMayHaveRunIsReportedAsNotRun() {
    List<AttemptFailure> wrong =
        Arrays.stream(RetryReason.values())
            .map(AttemptFailure::of)
            .filter(each -> each.mayHaveRun() != (each.kind().run() == ErrorKind.Run.UNKNOWN))
            .toList();

    assertThat(wrong).isEmpty();
  }
}
