package org.waxwingbeam.tools.measure.capacity;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
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

/** Builds configurations of a given number of services, with two client accounts for each. */
final class SampleConfiguration {
  private static final int ACCOUNTS_PER_SERVICE = 2;

  private SampleConfiguration() {}

  static Configuration ofServices(int services) {
    SortedMap<TemplateName, Template> templates = new TreeMap<>();
    SortedMap<AccountName, Account> accounts = new TreeMap<>();
    IntStream.range(0, services)
        .mapToObj(SampleConfiguration::template)
        .forEach(template -> templates.put(template.name(), template));
    IntStream.range(0, services * ACCOUNTS_PER_SERVICE)
        .mapToObj(SampleConfiguration::account)
        .forEach(account -> accounts.put(account.name(), account));
    return new Configuration(1, templates, accounts, new TreeSet<>(), new TreeMap<>());
  }

  static Template template(int index) {
    List<RouteRule> routes =
        List.of(
            new RouteRule(new RouteName("page"), Optional.of("GET"), "/pages/*", true, false),
            new RouteRule(new RouteName("file"), Optional.of("GET"), "/files/**", true, true),
            new RouteRule(new RouteName("order"), Optional.of("POST"), "/orders", false, false));
    return new Template(
        templateName(index),
        new ServiceName("service-" + index),
        "{account}.service-" + index + ".example",
        routes,
        Parameters.NONE
            .with(Parameter.DEADLINE, 2_000)
            .with(Parameter.TRANSFER_TOTAL, 3_600_000)
            .with(Parameter.UNPROVEN_SHARE, 5));
  }

  static Account account(int index) {
    Parameters parameters =
        Parameters.NONE.with(Parameter.DEADLINE, 1_000).with(Parameter.SHED_RANK, 3);
    return new Account(
        new AccountName("account-" + index),
        List.of(new AccountTerms(templateName(index / ACCOUNTS_PER_SERVICE), parameters)));
  }

  private static TemplateName templateName(int index) {
    return new TemplateName("template-" + index);
  }
}
