package org.waxwingbeam.target.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.waxwingbeam.caller.RetryReason;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.TargetProtocol;

/**
 * Adapter for the system's own protocol with targets, see {@link TargetProtocol}.
 *
 * @since 0.1.0
 */
public final class NativeTargetAdapter implements TargetAdapter {
  /** Creates the adapter. */
  public NativeTargetAdapter() {}

  @Override
  public void addRequestHeaders(HttpHeaders headers, AttemptMetadata metadata) {
    headers.set(TargetProtocol.DEADLINE_HEADER, metadata.remainingMs());
    headers.set(TargetProtocol.ATTEMPT_HEADER, metadata.attempt());
    headers.set(TargetProtocol.REQUEST_ID_HEADER, metadata.requestId());
  }

  @Override
  public Optional<String> echoedRequestId(HttpHeaders headers) {
    return RequestIdHeader.combinedValue(headers, TargetProtocol.REQUEST_ID_HEADER);
  }

  @Override
  public Optional<LoadReport> loadReport(HttpHeaders headers) {
    return LoadHeader.parse(headers.get(TargetProtocol.LOAD_HEADER));
  }

  @Override
  public ResponseDisposition classify(HttpResponse head) {
    String refusal = head.headers().get(TargetProtocol.REFUSED_HEADER);
    if (refusal == null || !head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      return new ResponseDisposition.Deliverable();
    }
    return switch (refusal) {
      case "cold" -> new ResponseDisposition.Refused(RetryReason.REFUSED_COLD);
      case "draining" -> new ResponseDisposition.Refused(RetryReason.REFUSED_DRAINING);
      case "overloaded" -> new ResponseDisposition.Refused(RetryReason.REFUSED_OVERLOADED);
      default -> new ResponseDisposition.Deliverable();
    };
  }

  @Override
  public boolean acceptsUndelimitedResponses() {
    return false;
  }

  @Override
  public HealthReport healthReport(HttpHeaders headers) {
    return new HealthReport(Optional.empty(), loadReport(headers), 0);
  }

  @Override
  public void removeInternalHeaders(HttpHeaders headers) {
    headers.remove(TargetProtocol.LOAD_HEADER);
    headers.remove(TargetProtocol.REFUSED_HEADER);
    headers.remove(TargetProtocol.REQUEST_ID_HEADER);
  }
}
