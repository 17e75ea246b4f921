package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.waxwingbeam.target.LoadReport;

/**
 * Says how requests to targets are marked and how their answers are read. Each protocol that
 * targets speak has one.
 *
 * @since 0.1.0
 */
public interface TargetAdapter {
  /** Marks a request that is about to be sent to a target. */
  void addRequestHeaders(HttpHeaders headers, AttemptMetadata delivery);

  /** Returns the request id that an answer repeats, if it repeats one. */
  Optional<String> echoedRequestId(HttpHeaders headers);

  /** Returns what an answer says of the target's load. */
  Optional<LoadReport> loadReport(HttpHeaders headers);

  /** Returns what the head of an answer means. */
  ResponseDisposition classify(HttpResponse head);

  /** Returns whether an answer without a length may end with its connection. */
  boolean acceptsUndelimitedResponses();

  /** Removes what a target says to the system only from an answer's headers. */
  void removeInternalHeaders(HttpHeaders headers);

  /** Returns what the answer to a status check says. */
  HealthReport healthReport(HttpHeaders headers);

  /**
   * Holds what the answer to a status check says.
   *
   * @param instanceId the identity of the target that answered, if it states one
   * @param load its load, if it states one
   * @param coldLeftMs how much longer it is cold, in milliseconds; 0 if it is warm or says nothing
   */
  record HealthReport(Optional<String> instanceId, Optional<LoadReport> load, int coldLeftMs) {}

  /**
   * Describes one sending of a request.
   *
   * @param requestId identifies the request across attempts
   * @param remainingMs milliseconds left until its deadline, at least 1
   * @param attempt 1 for the first attempt, 2 for its first retry
   * @param instanceId the identity that the target has stated, if it states one
   */
  record AttemptMetadata(
      String requestId, long remainingMs, int attempt, Optional<String> instanceId) {}
}
