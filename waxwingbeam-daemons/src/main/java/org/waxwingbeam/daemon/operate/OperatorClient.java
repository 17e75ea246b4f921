package org.waxwingbeam.daemon.operate;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.waxwingbeam.settings.Endpoint;

/**
 * HTTP client of the control replicas' operator interface. It tries the replicas in turn until one
 * responds.
 *
 * <p>Requests are retried until the timeout, also after a lost response. This is safe for a change,
 * because it is accepted at most once under its change id.
 */
final class OperatorClient implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);
  private static final long RETRY_DELAY_MS = 200;
  private static final String NOT_LEADER_HEADER = "waxwingbeam-not-leader";
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final List<Endpoint> controlEndpoints;
  private final String token;
  private final long timeoutMs;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  /**
   * Creates the client.
   *
   * @param controlEndpoints the replicas' addresses for operators
   * @param token the operators' credential
   * @param timeoutMs how long to retry a request, in milliseconds
   */
  OperatorClient(List<Endpoint> controlEndpoints, String token, long timeoutMs) {
    this.controlEndpoints = List.copyOf(controlEndpoints);
    this.token = token;
    this.timeoutMs = timeoutMs;
  }

  /**
   * Sends a GET request and reads a message from the response.
   *
   * @param prototype an empty message of the expected type
   */
  <T extends Message> Reply<T> get(String path, T prototype) throws InterruptedException {
    return sendUntilTimeout(path, HttpRequest.Builder::GET, prototype);
  }

  /**
   * Sends a message in a POST request and reads a message from the response.
   *
   * @param prototype an empty message of the expected type
   */
  <T extends Message> Reply<T> post(String path, Message body, T prototype)
      throws InterruptedException {
    String json = toJson(body);
    return sendUntilTimeout(
        path,
        request ->
            request
                .header("content-type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json)),
        prototype);
  }

  @Override
  public void close() {
    client.close();
  }

  private <T extends Message> Reply<T> sendUntilTimeout(
      String path, UnaryOperator<HttpRequest.Builder> method, T prototype)
      throws InterruptedException {
    long endNanos = System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
    Optional<Reply<T>> lost = Optional.empty();
    while (true) {
      Reply<T> reply = sendToEach(path, method, prototype);
      switch (reply) {
        case Reply.Received<T> received -> {
          return received;
        }
        case Reply.Rejected<T> rejected -> {
          return rejected;
        }
        case Reply.Lost<T> responseLost -> lost = Optional.of(responseLost);
        case Reply.Unreachable<T> unreachable -> {}
      }
      if (System.nanoTime() >= endNanos) {
        return lost.orElse(reply);
      }
      Thread.sleep(RETRY_DELAY_MS);
    }
  }

  /**
   * Tries the replicas in turn until one responds. If none does, a lost response takes precedence
   * over unreachable replicas, because the request may have been carried out.
   */
  private <T extends Message> Reply<T> sendToEach(
      String path, UnaryOperator<HttpRequest.Builder> method, T prototype)
      throws InterruptedException {
    Reply<T> worst = new Reply.Unreachable<>("no address was given");
    for (Endpoint control : controlEndpoints) {
      Reply<T> reply = sendTo(control, path, method, prototype);
      if (reply instanceof Reply.Received<T> || reply instanceof Reply.Rejected<T>) {
        return reply;
      }
      worst = worst instanceof Reply.Lost<T> ? worst : reply;
    }
    return worst;
  }

  private <T extends Message> Reply<T> sendTo(
      Endpoint control, String path, UnaryOperator<HttpRequest.Builder> method, T prototype)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + control + path))
            .timeout(RESPONSE_TIMEOUT)
            .header("authorization", "Bearer " + token);
    try {
      HttpResponse<String> response =
          client.send(method.apply(request).build(), HttpResponse.BodyHandlers.ofString());
      return readResponse(control, path, response, prototype);
    } catch (ConnectException | HttpConnectTimeoutException unreachable) {
      return new Reply.Unreachable<>(control + ": no connection");
    } catch (IOException lost) {
      return new Reply.Lost<>("%s: %s".formatted(control, lost.getMessage()));
    }
  }

  private static <T extends Message> Reply<T> readResponse(
      Endpoint control, String path, HttpResponse<String> response, T prototype) {
    boolean notLeader = response.headers().firstValue(NOT_LEADER_HEADER).isPresent();
    if (response.statusCode() == UNAVAILABLE) {
      return notLeader
          ? new Reply.Unreachable<>(control + ": not the leader")
          : new Reply.Lost<>(control + ": status 503, the outcome is unknown");
    }
    return switch (response.statusCode()) {
      case UNAUTHORIZED ->
          new Reply.Rejected<>(control + ": status 401, the credential was rejected");
      case NOT_FOUND ->
          new Reply.Rejected<>("%s: status 404, no resource %s".formatted(control, path));
      default -> parseMessage(control, response.body(), prototype);
    };
  }

  @SuppressWarnings("unchecked")
  private static <T extends Message> Reply<T> parseMessage(
      Endpoint control, String json, T prototype) {
    Message.Builder builder = prototype.newBuilderForType();
    try {
      JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
      return new Reply.Received<>((T) builder.build());
    } catch (InvalidProtocolBufferException malformed) {
      return new Reply.Lost<>("%s: malformed response: %s".formatted(control, json));
    }
  }

  private static String toJson(Message message) {
    try {
      return JsonFormat.printer().omittingInsignificantWhitespace().print(message);
    } catch (InvalidProtocolBufferException impossible) {
      throw new IllegalStateException("a message of known types has a JSON form", impossible);
    }
  }
}
