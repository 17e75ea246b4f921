package org.waxwingbeam.tools.load;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.tools.load.LoadPlan.RequestKind;

/** Checks which response bodies are accepted as correct. */
class ResponseValidatorTest {
  @Test
  void onlyResponseWithTokenAndPathOfItsRequestIsCorrect() {
    assertThat(isCorrect("/list?page=2", "token=t1 id= method=GET uri=/list?page=2 body=0"))
        .isTrue();
    assertThat(isCorrect("/list?page=2", "token=t2 id= method=GET uri=/list?page=2 body=0"))
        .isFalse();
    assertThat(isCorrect("/list?page=2", "token=t1 id= method=GET uri=/list?page=3 body=0"))
        .isFalse();
  }

  @Test
  void transferWithMissingOrWrongBytesIsNotCorrect() {
    assertThat(isCorrect("/tape?size=3", "\u0000\u0001\u0002")).isTrue();
    assertThat(isCorrect("/tape?size=3", "\u0000\u0001")).isFalse();
    assertThat(isCorrect("/tape?size=3", "\u0000\u0002\u0001")).isFalse();
  }

  private static boolean isCorrect(String path, String body) {
    RequestKind kind = new RequestKind("GET", "a.example", path, 1);
    ResponseValidator validator =
        new ResponseValidator(new PlannedRequest(kind, 0, "t1", "", 0, 0));
    validator.addBodyPart(Unpooled.copiedBuffer(body, UTF_8));
    return validator.isCorrect();
  }
}
