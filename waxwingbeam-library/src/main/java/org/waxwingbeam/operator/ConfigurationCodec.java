package org.waxwingbeam.operator;

import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.wire.configuration.ParameterValue;

/**
 * Encodes configurations as wire messages and decodes them.
 *
 * @since 0.1.0
 */
public final class ConfigurationCodec {
  private ConfigurationCodec() {}

  /** Encodes a configuration. */
  public static org.waxwingbeam.wire.configuration.Configuration encode(
      Configuration configuration) {
    var message =
        org.waxwingbeam.wire.configuration.Configuration.newBuilder()
            .setNumber(configuration.number());
    configuration.templates().values().forEach(each -> message.addTemplates(encode(each)));
    configuration.accounts().values().forEach(each -> message.addAccounts(encode(each)));
    configuration.dataCentresOut().stream()
        .map(DataCentreName::value)
        .forEach(message::addDataCentresOut);
    configuration.moves().values().forEach(each -> message.addMoves(encode(each)));
    return message.build();
  }

  /** Encodes a template. */
  public static org.waxwingbeam.wire.configuration.Template encode(Template template) {
    return org.waxwingbeam.wire.configuration.Template.newBuilder()
        .setName(template.name().value())
        .setService(template.service().value())
        .setHostPattern(template.hostPattern())
        .addAllRoutes(template.routes().stream().map(ConfigurationCodec::encode).toList())
        .addAllParameters(encode(template.parameters()))
        .build();
  }

  /** Encodes a client account. */
  public static org.waxwingbeam.wire.configuration.Account encode(Account account) {
    return org.waxwingbeam.wire.configuration.Account.newBuilder()
        .setName(account.name().value())
        .addAllTerms(account.terms().stream().map(ConfigurationCodec::encode).toList())
        .build();
  }

  private static org.waxwingbeam.wire.configuration.AccountTerms encode(AccountTerms terms) {
    return org.waxwingbeam.wire.configuration.AccountTerms.newBuilder()
        .setTemplate(terms.template().value())
        .addAllParameters(encode(terms.parameters()))
        .build();
  }

  private static org.waxwingbeam.wire.configuration.RouteRule encode(RouteRule rule) {
    return org.waxwingbeam.wire.configuration.RouteRule.newBuilder()
        .setName(rule.name().value())
        .setMethod(rule.method().orElse(""))
        .setPathPattern(rule.pathPattern())
        .setIdempotent(rule.idempotent())
        .setTransfer(rule.transfer())
        .build();
  }

  private static Iterable<ParameterValue> encode(Parameters parameters) {
    return parameters.explicitValues().entrySet().stream()
        .map(
            entry ->
                ParameterValue.newBuilder()
                    .setKey(entry.getKey().key())
                    .setValue(entry.getValue())
                    .build())
        .toList();
  }

  private static org.waxwingbeam.wire.configuration.VersionMove encode(VersionMove move) {
    return org.waxwingbeam.wire.configuration.VersionMove.newBuilder()
        .setService(move.service().value())
        .setFrom(move.from().value())
        .setTo(move.to().value())
        .setStartMs(move.startMs())
        .setDeadlineMs(move.deadlineMs())
        .setSharePerMille(move.sharePerMille())
        .setState(encode(move.state()))
        .setReason(move.reason())
        .build();
  }

  static org.waxwingbeam.wire.configuration.VersionMove.State encode(VersionMove.State state) {
    return switch (state) {
      case RUNNING -> org.waxwingbeam.wire.configuration.VersionMove.State.RUNNING;
      case SOAKING -> org.waxwingbeam.wire.configuration.VersionMove.State.SOAKING;
      case FINISHED -> org.waxwingbeam.wire.configuration.VersionMove.State.FINISHED;
      case ROLLED_BACK -> org.waxwingbeam.wire.configuration.VersionMove.State.ROLLED_BACK;
    };
  }

  /**
   * Decodes a configuration.
   *
   * @throws MalformedMessageException if a name, parameter or state in the message is not valid
   */
  public static Configuration decode(org.waxwingbeam.wire.configuration.Configuration message)
      throws MalformedMessageException {
    MessageDecoder decoder = new MessageDecoder();
    return decoder.finish(decoder.configuration(message));
  }
}
