package org.waxwingbeam.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.settings.IniFile.Section;

/**
 * Reads the INI files that define templates and client accounts.
 *
 * <pre>{@code
 * [template]
 * name = listing
 * service = listing
 * host = {account}.listings.example
 *
 * [parameters]
 * deadline = 2 s
 *
 * [route page]
 * method = GET
 * path = /pages/*
 * idempotent = yes
 * }</pre>
 *
 * <p>The file of a client account has a section {@code [account]} with its name, and a section such
 * as {@code [template listing]} for each template that it may use, with the parameters that it
 * overrides.
 *
 * @since 0.1.0
 */
public final class DefinitionReader {
  private static final String TEMPLATE = "template";
  private static final String PARAMETERS = "parameters";
  private static final String ACCOUNT = "account";
  private static final String ROUTE_PREFIX = "route ";
  private static final String TEMPLATE_PREFIX = "template ";
  private static final List<String> TEMPLATE_KEYS = List.of("name", "service", "host");
  private static final List<String> ROUTE_KEYS =
      List.of("method", "path", "idempotent", "transfer");

  private final IniFile file;
  private final DefinitionValueReader values;

  private DefinitionReader(IniFile file) {
    this.file = file;
    values = new DefinitionValueReader(file.name());
  }

  /**
   * Reads a template.
   *
   * @throws IOException if the file can't be read or is not an INI file
   */
  public static DefinitionResult<Template> template(Path path) throws IOException {
    return new DefinitionReader(IniFile.read(path)).read(DefinitionReader::readTemplate);
  }

  /**
   * Reads a client account.
   *
   * @throws IOException if the file can't be read or is not an INI file
   */
  public static DefinitionResult<Account> account(Path path) throws IOException {
    return new DefinitionReader(IniFile.read(path)).read(DefinitionReader::readAccount);
  }

  private <T> DefinitionResult<T> read(Function<DefinitionReader, Optional<T>> readDefinition) {
    Optional<T> value = readDefinition.apply(this);
    return values.hasNoFaults()
        ? new DefinitionResult.Valid<>(value.orElseThrow())
        : new DefinitionResult.Invalid<>(values.faults());
  }

  private Optional<Template> readTemplate() {
    checkSections(List.of(TEMPLATE, PARAMETERS, ROUTE_PREFIX + "NAME"), ROUTE_PREFIX);
    Section section = section(TEMPLATE);
    values.checkKeys(section, TEMPLATE_KEYS);
    var name = values.requiredName(section, "name", TemplateName::new);
    var service = values.requiredName(section, "service", ServiceName::new);
    Optional<String> host = values.required(section, "host");
    Parameters parameters =
        file.section(PARAMETERS).map(values::parameters).orElse(Parameters.NONE);
    List<RouteRule> routes =
        sections(ROUTE_PREFIX).flatMap(each -> readRoute(each).stream()).toList();
    if (name.isEmpty() || service.isEmpty() || host.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Template(name.get(), service.get(), host.get(), routes, parameters));
  }

  private Optional<RouteRule> readRoute(Section section) {
    values.checkKeys(section, ROUTE_KEYS);
    var name = values.sectionName(section, ROUTE_PREFIX, RouteName::new);
    Optional<String> path = values.required(section, "path");
    boolean idempotent = values.yesNo(section, "idempotent");
    boolean transfer = values.yesNo(section, "transfer");
    return name.flatMap(
        route ->
            path.map(
                pattern ->
                    new RouteRule(route, section.value("method"), pattern, idempotent, transfer)));
  }

  private Optional<Account> readAccount() {
    checkSections(List.of(ACCOUNT, TEMPLATE_PREFIX + "NAME"), TEMPLATE_PREFIX);
    Section section = section(ACCOUNT);
    values.checkKeys(section, List.of("name"));
    var name = values.requiredName(section, "name", AccountName::new);
    List<AccountTerms> terms =
        sections(TEMPLATE_PREFIX).flatMap(each -> readTerms(each).stream()).toList();
    return name.map(account -> new Account(account, terms));
  }

  private Optional<AccountTerms> readTerms(Section section) {
    Parameters parameters = values.parameters(section);
    return values
        .sectionName(section, TEMPLATE_PREFIX, TemplateName::new)
        .map(template -> new AccountTerms(template, parameters));
  }

  /**
   * Returns a section, or an empty one if it is missing, so that its required keys are reported.
   */
  private Section section(String name) {
    return file.section(name).orElseGet(() -> new Section(name, List.of()));
  }

  private Stream<Section> sections(String prefix) {
    return file.sections().stream().filter(section -> section.name().startsWith(prefix));
  }

  private void checkSections(List<String> known, String prefix) {
    file.sections().stream()
        .filter(section -> !known.contains(section.name()) && !section.name().startsWith(prefix))
        .forEach(section -> values.addUnknownSection(section, known));
  }
}
