package org.waxwingbeam.daemon;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.Test;

class CommandTableTest {
  @Test
  void unknownCommandIsRefusedWithTheKnownOnes() throws Exception {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    CommandTable table = new CommandTable("waxwingbeam", List.of());

    ExitCode code = table.run(List.of("entr"), System.out, new PrintStream(err, true, UTF_8));

    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString(UTF_8))
        .isEqualTo("waxwingbeam: unknown command 'entr'; expected one of \n");
  }
}
