package org.waxwingbeam.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.Template;

class DefinitionReaderTest {
  private static final String TEMPLATE =
      """
      [template]
      name = archive
      service = archive
      host = {account}.archive.example

      [parameters]
      deadline = 2 s
      request-body-limit = 16 MiB
      pin-version-by-account = yes

      [route interview]
      method = GET
      path = /interviews/*
      idempotent = yes
      transfer = yes

      [route other]
      path = /**
      idempotent = no
      transfer = no
      """;
  private static final String ACCOUNT =
      """
      [account]
      name = parish-of-lucera

      [template archive]
      transfer-total = 3 h

      [template listing]
      """;

  @TempDir Path folder;

  @Test
  void templateIsUnchangedAfterReadingAndWriting() throws IOException {
    var read = (DefinitionResult.Valid<Template>) DefinitionReader.template(written(TEMPLATE));

    assertThat(DefinitionWriter.template(read.value())).isEqualTo(TEMPLATE);
  }

  @Test
  void accountIsUnchangedAfterReadingAndWriting() throws IOException {
    var read = (DefinitionResult.Valid<Account>) DefinitionReader.account(written(ACCOUNT));

    assertThat(DefinitionWriter.account(read.value())).isEqualTo(ACCOUNT);
  }

  @Test
  void everyFaultOfTemplateIsReported() throws IOException {
    String invalid =
        TEMPLATE
            .replace("service =", "servce =")
            .replace("deadline = 2 s", "deadline = 2\ndead-line = 2 s")
            .replace("[route other]", "[rout other]")
            .replace("transfer = yes", "transfer = true");
    var read = (DefinitionResult.Invalid<Template>) DefinitionReader.template(written(invalid));

    assertThat(messages(read.faults()))
        .containsExactly(
            "d.ini: [rout other]: unknown section; the nearest known one is 'route NAME'",
            "d.ini: [template] servce = archive: unknown key; the nearest known one is 'service'",
            "d.ini: [template] service: missing",
            "d.ini: [parameters] dead-line = 2 s: unknown key; the nearest known one is"
                + " 'deadline'",
            "d.ini: [parameters] deadline = 2: expected a duration such as 250 ms, from 1 ms to"
                + " 1 h",
            "d.ini: [route interview] transfer = true: expected yes or no")
        .inOrder();
  }

  @Test
  void malformedNamesOfAccountAreReported() throws IOException {
    String invalid = ACCOUNT.replace("parish-of-lucera", "Parish").replace(" listing]", " List]");
    var read = (DefinitionResult.Invalid<Account>) DefinitionReader.account(written(invalid));

    String expected =
        "expected 1 to 63 lower-case letters, digits, dots or hyphens, starting with a letter or"
            + " digit";
    assertThat(messages(read.faults()))
        .containsExactly(
            "d.ini: [account] name = Parish: " + expected, "d.ini: [template List]: " + expected)
        .inOrder();
  }

  private List<String> messages(List<SettingsFault> faults) {
    return faults.stream().map(fault -> fault.message().replace(folder + "/", "")).toList();
  }

  private Path written(String text) throws IOException {
    return Files.writeString(folder.resolve("d.ini"), text);
  }
}
