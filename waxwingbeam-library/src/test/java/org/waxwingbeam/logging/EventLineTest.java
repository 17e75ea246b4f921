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
  void parsedLineHasTheFormattedValues() {
    String value = "/a \"b\"\n\t\\ = \u0001";

    assertThat(EventLine.parse(EventLine.format("refused", "path", value, "left", 7, "none", "")))
        .containsExactly(
            new EventLine.Field("event", "refused"),
            new EventLine.Field("path", value),
            new EventLine.Field("left", "7"),
            new EventLine.Field("none", ""))
        .inOrder();
  }

  @Test
  void textThatIsNoLineIsNamed() {
    var thrown =
        assertThrows(IllegalArgumentException.class, () -> EventLine.parse("event=refused or not"));

    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo("position 14: expected key=value, found 'or not'");
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
