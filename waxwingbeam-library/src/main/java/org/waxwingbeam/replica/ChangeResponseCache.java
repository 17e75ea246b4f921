package org.waxwingbeam.replica;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.replica.RememberedAnswer;

/** Remembers the first answer to each change id, up to a number of ids. */
final class ChangeResponseCache {
  /** More than the changes of one day at the size to design for. */
  static final int MAX_RESPONSES = 40_000;

  private static final int DIGEST_BYTES = 16;

  private final int limit;
  private final Map<String, RememberedAnswer> responses = new LinkedHashMap<>();

  ChangeResponseCache(int limit) {
    this.limit = limit;
  }

  /**
   * Returns the first answer to the request's id, which is computed now if there was none.
   *
   * <p>An id that was used for another request is refused, and its first answer stays.
   */
  ChangeAnswer firstResponse(ChangeRequest request, Supplier<ChangeAnswer> compute) {
    ByteString digest = digest(request);
    Optional<RememberedAnswer> found = Optional.ofNullable(responses.get(request.getChangeId()));
    if (found.isPresent()) {
      return found.get().getRequestDigest().equals(digest)
          ? found.get().getAnswer()
          : idReused(request.getChangeId());
    }
    ChangeAnswer answer = compute.get();
    remember(
        RememberedAnswer.newBuilder()
            .setChangeId(request.getChangeId())
            .setRequestDigest(digest)
            .setAnswer(answer)
            .build());
    return answer;
  }

  void restore(List<RememberedAnswer> remembered) {
    responses.clear();
    remembered.forEach(this::remember);
  }

  List<RememberedAnswer> all() {
    return List.copyOf(responses.values());
  }

  private void remember(RememberedAnswer answer) {
    responses.put(answer.getChangeId(), answer);
    if (responses.size() > limit) {
      responses.remove(responses.keySet().iterator().next());
    }
  }

  private static ChangeAnswer idReused(String id) {
    return ChangeAnswer.newBuilder()
        .setResult(ChangeAnswer.Result.REFUSED)
        .addReasons(
            "change id '%s' was used before for another change; expected a fresh id".formatted(id))
        .build();
  }

  private static ByteString digest(ChangeRequest request) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(Long.toString(request.getBasedOn()).getBytes(StandardCharsets.US_ASCII));
      byte[] whole = sha.digest(request.getChange().toByteArray());
      return ByteString.copyFrom(whole, 0, DIGEST_BYTES);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", missing);
    }
  }
}
