package org.waxwingbeam.peer.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.security.MessageDigest;
import org.jboss.logging.Logger;
import org.waxwingbeam.control.net.Channels;
import org.waxwingbeam.peer.RecordCodec;
import org.waxwingbeam.wire.peer.Hello;
import org.waxwingbeam.wire.peer.PeerMessage;

/**
 * Connection to another entry instance. Records are accepted only after the other end has presented
 * the token.
 */
final class PeerConnection extends SimpleChannelInboundHandler<PeerMessage> {
  private static final Logger LOG = Logger.getLogger(PeerConnection.class);

  private final PeerNetwork network;
  private final PeerNetwork.Identity identity;
  private boolean authenticated;

  PeerConnection(PeerNetwork network, PeerNetwork.Identity identity) {
    this.network = network;
    this.identity = identity;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    Hello hello =
        Hello.newBuilder()
            .setInstance(identity.instance().value())
            .setToken(identity.token())
            .build();
    Channels.send(context.channel(), PeerMessage.newBuilder().setHello(hello).build());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
    switch (message.getBodyCase()) {
      case HELLO -> authenticate(context, message.getHello());
      case RECORDS -> {
        if (authenticated) {
          network.onRecords(context.channel(), RecordCodec.fromWire(message.getRecords()));
        } else {
          refuse(context, "records before the credential");
        }
      }
      default -> refuse(context, "an empty message");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LOG.debugf(
        "event=peer-connection-failed peer=%s cause=\"%s\"",
        context.channel().remoteAddress(), cause);
    Channels.close(context.channel());
  }

  private void authenticate(ChannelHandlerContext context, Hello hello) {
    if (!MessageDigest.isEqual(
        hello.getToken().getBytes(UTF_8), identity.token().getBytes(UTF_8))) {
      refuse(context, "a wrong credential");
    } else if (!authenticated) {
      authenticated = true;
      network.onAuthenticated(context.channel());
    }
  }

  private static void refuse(ChannelHandlerContext context, String found) {
    LOG.warnf("event=peer-refused peer=%s found=\"%s\"", context.channel().remoteAddress(), found);
    Channels.close(context.channel());
  }
}
