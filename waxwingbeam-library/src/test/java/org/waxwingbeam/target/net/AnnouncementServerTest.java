package org.waxwingbeam.target.net;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.TargetRegistry;

class AnnouncementServerTest {
  private static final String ANNOUNCEMENT =
      "{'service':'listing','host':'127.0.0.1','port':9000,'version':'v1','dataCentre':'north',"
              .replace('\'', '"')
          + "'bootId':'7','slots':4,'coldCapacity':1,'state':'WARM','timeToLiveMs':3000}"
              .replace('\'', '"');

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final TargetRegistry registry = new TargetRegistry();
  private AnnouncementServer server;

  @BeforeEach
  void start() throws Exception {
    server =
        AnnouncementServer.start(
            group,
            new Endpoint("127.0.0.1", 0),
            announcement -> registry.announce(0, announcement));
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 5, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Test
  void acceptedAnnouncementGetsTheTimeToRepeat() throws Exception {
    HttpResponse<String> response = post("/announcements", ANNOUNCEMENT);

    assertThat(response.body()).isEqualTo("{\"repeatAfterMs\":1000}\n");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(registry.targets(new ServiceName("listing"))).hasSize(1);
  }

  @Test
  void lowerBootIdIsRefusedAsConflict() throws Exception {
    HttpResponse<String> first = post("/announcements", ANNOUNCEMENT);
    HttpResponse<String> response = post("/announcements", ANNOUNCEMENT.replace("\"7\"", "\"6\""));

    assertThat(first.statusCode()).isEqualTo(200);
    assertThat(response.statusCode()).isEqualTo(409);
    assertThat(response.body())
        .isEqualTo(
            "{\"field\":\"bootId\",\"found\":\"6\",\"expected\":\"at least 7, which is known"
                + " already\"}\n");
  }

  @Test
  void coldCapacityAboveTheSlotsIsRefusedWithTheRange() throws Exception {
    HttpResponse<String> response =
        post("/announcements", ANNOUNCEMENT.replace("\"coldCapacity\":1", "\"coldCapacity\":5"));

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body())
        .isEqualTo("{\"field\":\"coldCapacity\",\"found\":\"5\",\"expected\":\"1 to 4\"}\n");
    assertThat(registry.services()).isEmpty();
  }

  @Test
  void unknownPathIsNotFound() throws Exception {
    HttpResponse<String> response = post("/announcement", ANNOUNCEMENT);

    assertThat(response.statusCode()).isEqualTo(404);
    assertThat(response.body())
        .isEqualTo(
            "{\"field\":\"path\",\"found\":\"/announcement\",\"expected\":\"/announcements\"}\n");
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + server.address().getPort() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(Duration.ofSeconds(30))
            .POST(BodyPublishers.ofString(body))
            .build();
    try (HttpClient client = HttpClient.newHttpClient()) {
      return client.send(request, BodyHandlers.ofString());
    }
  }
}
