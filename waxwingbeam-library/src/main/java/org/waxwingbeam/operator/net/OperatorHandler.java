package org.waxwingbeam.operator.net;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.waxwingbeam.operator.OperatorService.ChangeOutcome;
import org.waxwingbeam.wire.operator.ChangeAnswer;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.operator.ReplaceReplica;

/** Handles the HTTP requests of one operator connection; responses are JSON messages. */
final class OperatorHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Header set to true in responses of a replica that does not lead and has changed nothing. */
  static final String NOT_LEADER_HEADER = "waxwingbeam-not-leader";

  private static final Pattern IN_FORCE_PATH = Pattern.compile("/changes/(\\d{1,18})/in-force");
  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");
  private static final JsonFormat.Printer JSON =
      JsonFormat.printer().preservingProtoFieldNames().alwaysPrintFieldsWithNoPresence();

  private final byte[] authorization;
  private final OperatorOperations operations;

  OperatorHandler(String token, OperatorOperations operations) {
    authorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    this.operations = operations;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    ResponseSender responseSender = new ResponseSender(context, keepAlive);
    if (isAuthorized(request)) {
      route(request, responseSender);
    } else {
      responseSender.sendRefusal(
          HttpResponseStatus.UNAUTHORIZED, "authorization: expected the operators' token");
    }
  }

  private boolean isAuthorized(FullHttpRequest request) {
    String given = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
    return MessageDigest.isEqual(authorization, given.getBytes(StandardCharsets.UTF_8));
  }

  private void route(FullHttpRequest request, ResponseSender responseSender) {
    QueryStringDecoder address = new QueryStringDecoder(request.uri());
    if (request.method().equals(HttpMethod.POST)) {
      post(address.path(), request.content(), responseSender);
    } else if (request.method().equals(HttpMethod.GET)) {
      get(address, responseSender);
    } else {
      responseSender.sendRefusal(
          HttpResponseStatus.METHOD_NOT_ALLOWED,
          "method %s: expected GET or POST".formatted(request.method()));
    }
  }

  private void post(String path, ByteBuf body, ResponseSender responseSender) {
    switch (path) {
      case "/changes" -> {
        ChangeRequest.Builder change = ChangeRequest.newBuilder();
        if (parse(body, change, responseSender)) {
          operations.submitChange(change.build(), responseSender::sendOutcome);
        }
      }
      case "/replicas/replace" -> {
        ReplaceReplica.Builder replacement = ReplaceReplica.newBuilder();
        if (parse(body, replacement, responseSender)) {
          operations.replaceReplica(replacement.build(), responseSender::sendOutcome);
        }
      }
      default -> responseSender.sendUnknownPath(path);
    }
  }

  private static boolean parse(
      ByteBuf body, Message.Builder target, ResponseSender responseSender) {
    try {
      JsonFormat.parser().merge(body.toString(StandardCharsets.UTF_8), target);
      return true;
    } catch (InvalidProtocolBufferException malformed) {
      responseSender.sendRefusal(
          HttpResponseStatus.BAD_REQUEST,
          "body: expected a JSON %s message; %s"
              .formatted(target.getDescriptorForType().getName(), malformed.getMessage()));
      return false;
    }
  }

  private void get(QueryStringDecoder address, ResponseSender responseSender) {
    Matcher inForce = IN_FORCE_PATH.matcher(address.path());
    if (inForce.matches()) {
      responseSender.sendIfLeader(operations.inForce(Long.parseLong(inForce.group(1))));
      return;
    }
    switch (address.path()) {
      case "/configuration" -> responseSender.sendIfLeader(operations.configuration());
      case "/status" -> responseSender.send(HttpResponseStatus.OK, operations.status());
      case "/changes" -> history(address, responseSender);
      default -> responseSender.sendUnknownPath(address.path());
    }
  }

  private void history(QueryStringDecoder address, ResponseSender responseSender) {
    String from = address.parameters().getOrDefault("from", List.of("1")).getFirst();
    if (NUMBER.matcher(from).matches()) {
      responseSender.sendIfLeader(operations.history(Long.parseLong(from)));
    } else {
      responseSender.sendRefusal(
          HttpResponseStatus.BAD_REQUEST, "from '%s': expected a number".formatted(from));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close().addListener(done -> {});
  }

  /** Sends the single response to a request. */
  private record ResponseSender(ChannelHandlerContext context, boolean keepAlive) {
    void sendOutcome(ChangeOutcome outcome) {
      switch (outcome) {
        case ChangeOutcome.Decided decided -> send(status(decided.response()), decided.response());
        case ChangeOutcome.NotLeader none -> sendNotLeader();
      }
    }

    private static HttpResponseStatus status(ChangeAnswer response) {
      return switch (response.getResult()) {
        case ACCEPTED -> HttpResponseStatus.OK;
        case CONFLICT -> HttpResponseStatus.CONFLICT;
        case REFUSED -> HttpResponseStatus.UNPROCESSABLE_ENTITY;
        case UNKNOWN, RESULT_UNSPECIFIED, UNRECOGNIZED -> HttpResponseStatus.SERVICE_UNAVAILABLE;
      };
    }

    void sendIfLeader(Optional<? extends Message> message) {
      Consumer<Message> sender = each -> send(HttpResponseStatus.OK, each);
      message.ifPresentOrElse(sender, this::sendNotLeader);
    }

    private void sendNotLeader() {
      FullHttpResponse response =
          response(
              HttpResponseStatus.SERVICE_UNAVAILABLE,
              refusal("this replica does not lead; nothing was changed; ask another one"));
      response.headers().set(NOT_LEADER_HEADER, true);
      write(response);
    }

    void sendUnknownPath(String path) {
      sendRefusal(
          HttpResponseStatus.NOT_FOUND,
          ("path '%s': expected /changes, /changes/NUMBER/in-force, /configuration, /status or"
                  + " /replicas/replace")
              .formatted(path));
    }

    void sendRefusal(HttpResponseStatus status, String reason) {
      send(status, refusal(reason));
    }

    private static ChangeAnswer refusal(String reason) {
      return ChangeAnswer.newBuilder()
          .setResult(ChangeAnswer.Result.REFUSED)
          .addReasons(reason)
          .build();
    }

    void send(HttpResponseStatus status, Message message) {
      write(response(status, message));
    }

    private FullHttpResponse response(HttpResponseStatus status, Message message) {
      try {
        ByteBuf body =
            ByteBufUtil.writeUtf8(context.alloc(), JSON.print(message) + System.lineSeparator());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
      } catch (InvalidProtocolBufferException malformed) {
        throw new IllegalStateException("message cannot be printed as JSON", malformed);
      }
    }

    private void write(FullHttpResponse response) {
      if (keepAlive) {
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      } else {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }
  }
}
