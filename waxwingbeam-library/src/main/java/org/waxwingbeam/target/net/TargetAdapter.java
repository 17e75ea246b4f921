package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetNotice;

/**
 * Adapter for a protocol of targets: sets the protocol headers of requests and interprets the heads
 * of responses.
 *
 * @since 0.1.0
 */
public interface TargetAdapter {
  /** Sets the protocol headers of a request to a target. */
  void addRequestHeaders(HttpHeaders headers, AttemptMetadata metadata);

  /** Returns the request id that a response echoes, if any. */
  Optional<String> echoedRequestId(HttpHeaders headers);

  /** Returns the load report of a response, if any. */
  Optional<LoadReport> loadReport(HttpHeaders headers);

  /** Returns what a response states about further requests; nothing in protocols without it. */
  default TargetNotice notice(HttpResponse head) {
    return TargetNotice.NONE;
  }

  /** Classifies a response by its head. */
  ResponseDisposition classify(HttpResponse head);

  /** Returns whether a response without a length is accepted, which ends with its connection. */
  boolean acceptsUndelimitedResponses();

  /** Removes the headers of a response that are meant for the system and not for the caller. */
  void removeInternalHeaders(HttpHeaders headers);

  /** Returns the health report in the response to a status check. */
  HealthReport healthReport(HttpHeaders headers);

  /**
   * Health report in the response to a status check.
   *
   * @param instanceId the identity of the target that responded, if it reports one
   * @param load its load, if it reports one
   * @param coldLeftMs remaining time of its cold start in milliseconds; 0 if it is warm or reports
   *     none
   */
  record HealthReport(Optional<String> instanceId, Optional<LoadReport> load, int coldLeftMs) {}

  /**
   * Metadata of one attempt at a request.
   *
   * @param requestId identifies the request across attempts
   * @param remainingMs remaining time until its deadline in milliseconds, at least 1
   * @param attempt 1 for the first attempt, 2 for its first retry
   * @param instanceId the identity that the target has reported, if any
   */
  record AttemptMetadata(
      String requestId, long remainingMs, int attempt, Optional<String> instanceId) {}
}
