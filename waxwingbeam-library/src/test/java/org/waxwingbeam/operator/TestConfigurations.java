package org.waxwingbeam.operator;

import java.util.List;
import java.util.Optional;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionName;

/** Test data for changes of the configuration. */
final class TestConfigurations {
  static final long NOW_MS = 1_000_000;
  static final ServiceName LISTING = new ServiceName("listing");
  static final RouteRule PAGE = route("page", "/pages/*");
  static final Template TEMPLATE = template("listing", "{account}.listings.example", PAGE);
  static final Account ACCOUNT = account("parish", "listing", Parameters.NONE);

  private TestConfigurations() {}

  static RouteRule route(String name, String path) {
    return new RouteRule(new RouteName(name), Optional.of("GET"), path, true, false);
  }

  static Template template(String name, String host, RouteRule... routes) {
    Parameters parameters = Parameters.NONE.with(Parameter.DEADLINE, 2_000);
    return new Template(new TemplateName(name), LISTING, host, List.of(routes), parameters);
  }

  static Account account(String name, String template, Parameters parameters) {
    AccountTerms terms = new AccountTerms(new TemplateName(template), parameters);
    return new Account(new AccountName(name), List.of(terms));
  }

  static Change.MoveVersion moveTo(String version) {
    Optional<VersionName> from = Optional.of(new VersionName("v1"));
    return new Change.MoveVersion(LISTING, from, new VersionName(version), NOW_MS + 60_000);
  }

  /** Returns the empty configuration after changes that must all be accepted. */
  static Configuration configured(Change... changes) {
    Configuration configuration = Configuration.EMPTY;
    for (Change change : changes) {
      EditResult result = ConfigurationEditor.apply(configuration, change, NOW_MS);
      configuration = ((EditResult.Accepted) result).configuration();
    }
    return configuration;
  }

  /** Returns the reasons for the refusal of a change, which must be refused. */
  static List<String> reasons(Configuration configuration, Change change) {
    EditResult result = ConfigurationEditor.apply(configuration, change, NOW_MS);
    return ((EditResult.Refused) result).reasons();
  }
}
