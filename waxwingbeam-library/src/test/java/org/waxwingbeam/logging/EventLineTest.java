package org.waxwingbeam.logging;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class EventLineTest {
  @Test
  void valuesAreQuotedOnlyWhenNeeded() {
    assertThat(EventLine.format("refused", "kind", "no-target", "path", "/a b", "reason", ""))
        .isEqualTo("event=refused kind=no-target path=\"/a b\" reason=\"\"");
  }

  @Test
  void lineBreaksAndQuotesInValueAreEscaped() {
    assertThat(EventLine.format("refused", "path", "/\n\"event=x\\"))
        .isEqualTo("event=refused path=\"/\\n\\\"event=x\\\\\"");
  }

  @Test
  void keyWithoutValueIsRejected() {
    var thrown =
        assertThrows(IllegalArgumentException.class, () -> EventLine.format("refused", "kind"));

    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo("event refused: expected keys and values in turn, found 1 words");
  }
}
