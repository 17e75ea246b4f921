package org.waxwingbeam.tools.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.waxwingbeam.tools.Futures;

/**
 * Handles the commands at the control port of the stand-in targets.
 *
 * <p>{@code POST /set?KEY=VALUE&...} sets faults and switches, {@code POST /crash} crashes targets,
 * {@code POST /clear} clears the record; {@code GET /record} and {@code GET /summary} read it. The
 * parameters {@code port}, {@code service}, {@code version} and {@code data-centre} select targets;
 * without them, a command applies to all. {@code route} is the path prefix to which faults apply.
 */
@Sharable
final class ControlHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final Set<String> SELECTORS =
      Set.of("port", "service", "version", "data-centre", "route");
  private static final Set<String> SWITCHES = Set.of("cold", "cold-refuses", "drain", "lie");

  private final StandInProcess process;

  ControlHandler(StandInProcess process) {
    this.process = process;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    Map<String, String> values = new TreeMap<>();
    query.parameters().forEach((key, allValues) -> values.put(key, allValues.getLast()));
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    String command = request.method().name() + " " + query.path();
    CompletableFuture<String> result;
    try {
      result = run(command, values);
    } catch (IllegalArgumentException invalid) {
      write(context, HttpResponseStatus.BAD_REQUEST, invalid.getMessage() + "\n", keepAlive);
      return;
    }
    Futures.ignore(
        result.thenAccept(text -> write(context, HttpResponseStatus.OK, text + "\n", keepAlive)));
  }

  private CompletableFuture<String> run(String command, Map<String, String> values) {
    List<StandInTarget> targets = process.targets().filter(each -> matches(each, values)).toList();
    return switch (command) {
      case "POST /set" -> setFaults(targets, values);
      case "POST /crash" -> runOnEach(targets, StandInTarget::crash);
      case "POST /clear" -> runOnEach(targets, StandInTarget::clearRecord);
      case "GET /record" -> readRecords(targets, true);
      case "GET /summary" -> readRecords(targets, false);
      default ->
          throw new IllegalArgumentException(
              "unknown command '%s': expected POST /set, POST /crash, POST /clear, GET /record"
                      .formatted(command)
                  + " or GET /summary");
    };
  }

  private CompletableFuture<String> setFaults(
      List<StandInTarget> targets, Map<String, String> values) {
    Map<String, String> settings = new TreeMap<>(values);
    settings.keySet().removeAll(SELECTORS);
    settings.forEach(ControlHandler::validate);
    String route = values.getOrDefault("route", "");
    return runOnEach(
            targets, target -> settings.forEach((key, value) -> target.setFault(route, key, value)))
        .thenApply(
            count -> {
              process.announceAll();
              return count;
            });
  }

  private static void validate(String key, String value) {
    if (!SWITCHES.contains(key)) {
      Faults.NONE.with(key, value);
    }
  }

  private static boolean matches(StandInTarget target, Map<String, String> values) {
    TargetSpec spec = target.spec();
    return values.getOrDefault("port", "" + spec.port()).equals("" + spec.port())
        && values.getOrDefault("service", spec.service()).equals(spec.service())
        && values.getOrDefault("version", spec.version()).equals(spec.version())
        && values.getOrDefault("data-centre", spec.dataCentre()).equals(spec.dataCentre());
  }

  private static CompletableFuture<String> runOnEach(
      List<StandInTarget> targets, java.util.function.Consumer<StandInTarget> action) {
    Stream<CompletableFuture<Void>> runs =
        targets.stream()
            .map(each -> CompletableFuture.runAsync(() -> action.accept(each), each.loop()));
    return CompletableFuture.allOf(runs.toArray(CompletableFuture[]::new))
        .thenApply(done -> "{\"targets\":" + targets.size() + "}");
  }

  private static CompletableFuture<String> readRecords(
      List<StandInTarget> targets, boolean withRuns) {
    List<CompletableFuture<String>> records =
        targets.stream()
            .map(each -> CompletableFuture.supplyAsync(() -> each.json(withRuns), each.loop()))
            .toList();
    return CompletableFuture.allOf(records.toArray(CompletableFuture[]::new))
        .thenApply(
            done ->
                records.stream()
                    .map(CompletableFuture::join)
                    .collect(Collectors.joining(",\n", "{\"targets\":[\n", "\n]}")));
  }

  private static void write(
      ChannelHandlerContext context, HttpResponseStatus status, String text, boolean keepAlive) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    if (keepAlive) {
      Futures.ignore(context.writeAndFlush(response));
    } else {
      Futures.ignore(
          context
              .writeAndFlush(response)
              .addListener(io.netty.channel.ChannelFutureListener.CLOSE));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    Futures.ignore(context.close());
  }
}
