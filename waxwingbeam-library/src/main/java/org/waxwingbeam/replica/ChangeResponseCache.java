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

/**
 * Keeps the first response to each change id, so that a repeated request is not applied twice.
 * Beyond a limit, the oldest ids are dropped.
 */
final class ChangeResponseCache {
  /** More than the number of changes in one day at the design load. */
  static final int MAX_RESPONSES = 40_000;

  private static final int DIGEST_BYTES = 16;

  private final int limit;
  private final Map<String, RememberedAnswer> responses = new LinkedHashMap<>();

  ChangeResponseCache(int limit) {
    this.limit = limit;
  }

  /**
   * Returns the first response to the request's change id; computes it if the id is new.
   *
   * <p>A request that reuses the id of a different request is refused; the first response is kept.
   */
  ChangeAnswer firstResponse(ChangeRequest request, Supplier<ChangeAnswer> compute) {
    ByteString digest = digest(request);
    Optional<RememberedAnswer> found = Optional.ofNullable(responses.get(request.getChangeId()));
    if (found.isPresent()) {
      return found.get().getRequestDigest().equals(digest)
          ? found.get().getAnswer()
          : idReused(request.getChangeId());
    }
    ChangeAnswer response = compute.get();
    put(
        RememberedAnswer.newBuilder()
            .setChangeId(request.getChangeId())
            .setRequestDigest(digest)
            .setAnswer(response)
            .build());
    return response;
  }

  void restore(List<RememberedAnswer> remembered) {
    responses.clear();
    remembered.forEach(this::put);
  }

  List<RememberedAnswer> all() {
    return List.copyOf(responses.values());
  }

  private void put(RememberedAnswer response) {
    responses.put(response.getChangeId(), response);
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
