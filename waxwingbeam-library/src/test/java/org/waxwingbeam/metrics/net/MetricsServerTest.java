package org.waxwingbeam.metrics.net;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.settings.Endpoint;

class MetricsServerTest {
  /** More than the server has threads. */
  private static final int STUCK_CONNECTIONS = 12;

  private static final int TIMEOUT_MS = 30_000;

  private final List<Socket> open = new ArrayList<>();

  /** Guards against metrics that nobody can read because of readers that went silent. */
  @Test
  void requestsThatNeverArriveCompletelyDoNotBlockOthers() throws Exception {
    try (MetricsServer server =
        MetricsServer.start(new Endpoint("127.0.0.1", 0), new PrometheusRegistry())) {
      for (int i = 0; i < STUCK_CONNECTIONS; i++) {
        send(server, "GET /metrics HTTP/1.1\r\nHost:");
      }
      Thread.sleep(1_000);
      try {
        Socket reader = send(server, "GET /metrics HTTP/1.1\r\nHost: localhost\r\n\r\n");
        byte[] status = reader.getInputStream().readNBytes("HTTP/1.1 200".length());

        assertThat(new String(status, US_ASCII)).isEqualTo("HTTP/1.1 200");
      } finally {
        // A server whose threads all wait for requests cannot be closed.
        closeAll();
      }
    }
  }

  private Socket send(MetricsServer server, String text) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
    open.add(socket);
    socket.setSoTimeout(TIMEOUT_MS);
    socket.getOutputStream().write(text.getBytes(US_ASCII));
    return socket;
  }

  private void closeAll() throws IOException {
    for (Socket each : open) {
      each.close();
    }
  }
}
