package org.waxwingbeam.model;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ServiceNameTest {
  @Test
  void malformedNameIsReportedWithItsValueAndTheExpectedForm() {
    var thrown = assertThrows(InvalidNameException.class, () -> new ServiceName("Listing_1"));

    assertThat(thrown)
        .hasMessageThat()
        .isEqualTo(
            "service name 'Listing_1': expected 1 to 63 lower-case letters, digits, dots or"
                + " hyphens, starting with a letter or digit");
  }
}
