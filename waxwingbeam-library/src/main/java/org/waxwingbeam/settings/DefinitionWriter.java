package org.waxwingbeam.settings;

import java.util.stream.Collectors;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.Template;

/**
 * Writes templates and client accounts in the INI format that {@link DefinitionReader} reads.
 *
 * @since 0.1.0
 */
public final class DefinitionWriter {
  private DefinitionWriter() {}

  /** Returns the content of a template's file. */
  public static String template(Template template) {
    String head =
        "[template]%nname = %s%nservice = %s%nhost = %s%n"
            .formatted(template.name(), template.service(), template.hostPattern());
    String parameters = "%n[parameters]%n%s".formatted(lines(template.parameters()));
    return template.routes().stream()
        .map(DefinitionWriter::route)
        .collect(Collectors.joining("", head + parameters, ""));
  }

  private static String route(RouteRule rule) {
    String method = rule.method().map("method = %s%n"::formatted).orElse("");
    return "%n[route %s]%n%spath = %s%nidempotent = %s%ntransfer = %s%n"
        .formatted(
            rule.name(),
            method,
            rule.pathPattern(),
            yesNo(rule.idempotent()),
            yesNo(rule.transfer()));
  }

  /** Returns the content of a client account's file. */
  public static String account(Account account) {
    return account.terms().stream()
        .map(DefinitionWriter::terms)
        .collect(Collectors.joining("", "[account]%nname = %s%n".formatted(account.name()), ""));
  }

  private static String terms(AccountTerms terms) {
    return "%n[template %s]%n%s".formatted(terms.template(), lines(terms.parameters()));
  }

  private static String lines(Parameters parameters) {
    return parameters.explicitValues().entrySet().stream()
        .map(
            entry ->
                "%s = %s%n"
                    .formatted(
                        entry.getKey().key(),
                        ParameterText.format(entry.getKey(), entry.getValue())))
        .collect(Collectors.joining());
  }

  private static String yesNo(boolean value) {
    return value ? "yes" : "no";
  }
}
