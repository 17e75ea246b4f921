package org.waxwingbeam.metrics.net;

import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import org.waxwingbeam.settings.Endpoint;

/**
 * Serves the metrics of a registry over HTTP in the Prometheus text format, at {@code /metrics}.
 * Requests that do not arrive in time are dropped.
 *
 * <pre>{@code
 * try (MetricsServer server = MetricsServer.start(settings.metrics(), registry)) {
 *   ...
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class MetricsServer implements AutoCloseable {
  /** Longest time for a request to arrive, in seconds. */
  private static final int REQUEST_TIMEOUT_S = 5;

  /** Interval at which the server looks for requests that have not arrived in time. */
  private static final int CHECK_INTERVAL_MS = 5_000;

  static {
    // Without it, a request that never arrives completely occupies one of a few threads for ever.
    setIfAbsent("sun.net.httpserver.maxReqTime", REQUEST_TIMEOUT_S);
    setIfAbsent("sun.net.httpserver.timerMillis", CHECK_INTERVAL_MS);
  }

  private final HTTPServer server;

  private MetricsServer(HTTPServer server) {
    this.server = server;
  }

  /**
   * Starts a server for the default registry of the process.
   *
   * @param endpoint where to listen
   * @throws IOException if the address can't be bound
   */
  public static MetricsServer start(Endpoint endpoint) throws IOException {
    return start(endpoint, PrometheusRegistry.defaultRegistry);
  }

  /**
   * Starts a server for a registry.
   *
   * @param endpoint where to listen
   * @param registry the registry to serve
   * @throws IOException if the address can't be bound
   */
  public static MetricsServer start(Endpoint endpoint, PrometheusRegistry registry)
      throws IOException {
    return new MetricsServer(
        HTTPServer.builder()
            .hostname(endpoint.host())
            .port(endpoint.port())
            .registry(registry)
            .buildAndStart());
  }

  private static void setIfAbsent(String property, int value) {
    if (System.getProperty(property) == null) {
      System.setProperty(property, Integer.toString(value));
    }
  }

  /** Returns the port on which the server listens. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    server.close();
  }
}
