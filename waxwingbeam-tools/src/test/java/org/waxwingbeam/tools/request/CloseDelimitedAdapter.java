package org.waxwingbeam.tools.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.waxwingbeam.caller.net.ExchangeContext;
import org.waxwingbeam.caller.net.NativeCallerAdapter;
import org.waxwingbeam.target.LoadReport;
import org.waxwingbeam.target.net.NativeTargetAdapter;
import org.waxwingbeam.target.net.ResponseDisposition;
import org.waxwingbeam.target.net.TargetAdapter;

/** The native protocol of targets, with responses that may end with their connection. */
final class CloseDelimitedAdapter implements TargetAdapter {
  private static final int BUFFER_BYTES = 1_000;

  private final TargetAdapter adapter = new NativeTargetAdapter();

  /** Returns protocols with short responses buffered. */
  static ExchangeContext.Protocols protocols() {
    return new ExchangeContext.Protocols(
        new NativeCallerAdapter(), new CloseDelimitedAdapter(), BUFFER_BYTES);
  }

  @Override
  public void addRequestHeaders(HttpHeaders headers, AttemptMetadata metadata) {
    adapter.addRequestHeaders(headers, metadata);
  }

  @Override
  public Optional<String> echoedRequestId(HttpHeaders headers) {
    return adapter.echoedRequestId(headers);
  }

  @Override
  public Optional<LoadReport> loadReport(HttpHeaders headers) {
    return adapter.loadReport(headers);
  }

  @Override
  public ResponseDisposition classify(HttpResponse head) {
    return adapter.classify(head);
  }

  @Override
  public boolean acceptsUndelimitedResponses() {
    return true;
  }

  @Override
  public void removeInternalHeaders(HttpHeaders headers) {
    adapter.removeInternalHeaders(headers);
  }

  @Override
  public HealthReport healthReport(HttpHeaders headers) {
    return adapter.healthReport(headers);
  }
}
