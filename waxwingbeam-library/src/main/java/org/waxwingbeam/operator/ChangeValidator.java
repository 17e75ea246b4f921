package org.waxwingbeam.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.text.NearestName;

/** Validates changes against the current configuration. */
final class ChangeValidator {
  private ChangeValidator() {}

  /** Returns all faults of a change, or an empty list if it is valid. */
  static List<Fault> faults(Configuration configuration, Change change, long acceptedMs) {
    return switch (change) {
      case Change.PutTemplate put -> putTemplateFaults(configuration, put.template());
      case Change.RemoveTemplate remove -> removeTemplateFaults(configuration, remove.template());
      case Change.PutAccount put -> putAccountFaults(configuration, put.account());
      case Change.RemoveAccount remove ->
          configuration.accounts().containsKey(remove.account())
              ? List.of()
              : unknownNameFaults(
                  "client account", remove.account(), configuration.accounts().keySet());
      case Change.TakeDataCentreOut out -> takeOutFaults(configuration, out.dataCentre());
      case Change.BringDataCentreIn in -> bringInFaults(configuration, in.dataCentre());
      case Change.MoveVersion move -> MoveRules.startFaults(configuration, move, acceptedMs);
      case Change.AdvanceMove advance -> MoveRules.advanceFaults(configuration, advance);
      case Change.RollBackMove back -> MoveRules.rollBackFaults(configuration, back);
    };
  }

  private static List<Fault> putTemplateFaults(Configuration configuration, Template template) {
    List<Fault> faults = new ArrayList<>(TemplateValidator.faults(configuration, template));
    configuration
        .accounts()
        .values()
        .forEach(
            account ->
                account
                    .termsFor(template.name())
                    .ifPresent(terms -> faults.addAll(termsFaults(account, template, terms))));
    Optional.ofNullable(configuration.templates().get(template.name()))
        .filter(before -> !before.service().equals(template.service()))
        .ifPresent(before -> faults.addAll(orphanedMoveFaults(configuration, before)));
    return faults;
  }

  private static List<Fault> removeTemplateFaults(Configuration configuration, TemplateName name) {
    Template template = configuration.templates().get(name);
    if (template == null) {
      return unknownNameFaults("template", name, configuration.templates().keySet());
    }
    List<Fault> faults = new ArrayList<>(orphanedMoveFaults(configuration, template));
    String users =
        configuration.accounts().values().stream()
            .filter(account -> account.termsFor(name).isPresent())
            .map(account -> account.name().toString())
            .collect(Collectors.joining(", "));
    if (!users.isEmpty()) {
      faults.add(
          new Fault("template", name.toString(), "no client account to use it; used by " + users));
    }
    return faults;
  }

  /**
   * Returns a fault if the service of an unfinished version move would be left without a template.
   */
  private static List<Fault> orphanedMoveFaults(Configuration configuration, Template leaving) {
    ServiceName service = leaving.service();
    boolean served =
        configuration.templates().values().stream()
            .anyMatch(each -> each.service().equals(service) && !each.equals(leaving));
    return MoveRules.unfinished(configuration, service)
        .filter(move -> !served)
        .map(ChangeValidator::orphanedMoveFault)
        .stream()
        .toList();
  }

  private static Fault orphanedMoveFault(VersionMove move) {
    return new Fault(
        "service",
        move.service().toString(),
        "its version move to %s to be finished before its last template goes".formatted(move.to()));
  }

  private static List<Fault> putAccountFaults(Configuration configuration, Account account) {
    String subject = "client account '%s' template".formatted(account.name());
    Stream<Fault> duplicates =
        Duplicates.of(account.terms().stream().map(AccountTerms::template)).stream()
            .map(name -> new Fault(subject, name.toString(), "each template at most once"));
    Stream<Fault> invalid =
        account.terms().stream().flatMap(terms -> termsFaults(configuration, account, terms));
    return Stream.concat(duplicates, invalid).toList();
  }

  private static Stream<Fault> termsFaults(
      Configuration configuration, Account account, AccountTerms terms) {
    Template template = configuration.templates().get(terms.template());
    if (template == null) {
      String subject = "client account '%s' template".formatted(account.name());
      return unknownNameFaults(subject, terms.template(), configuration.templates().keySet())
          .stream();
    }
    return termsFaults(account, template, terms).stream();
  }

  private static List<Fault> termsFaults(Account account, Template template, AccountTerms terms) {
    String subject = "client account '%s' template '%s'".formatted(account.name(), template.name());
    return parameterFaults(subject, template.parameters().overriddenBy(terms.parameters()));
  }

  /** Returns the faults of parameters that contradict each other. */
  static List<Fault> parameterFaults(String subject, Parameters parameters) {
    long idleMs = parameters.value(Parameter.TRANSFER_IDLE);
    long totalMs = parameters.value(Parameter.TRANSFER_TOTAL);
    if (idleMs <= totalMs) {
      return List.of();
    }
    return List.of(
        new Fault(
            subject + " transfer-idle",
            idleMs + " ms",
            "at most transfer-total, which is %d ms".formatted(totalMs)));
  }

  private static List<Fault> takeOutFaults(Configuration configuration, DataCentreName name) {
    return configuration.dataCentresOut().contains(name)
        ? List.of(new Fault("data centre", name.toString(), "one that is in service"))
        : List.of();
  }

  private static List<Fault> bringInFaults(Configuration configuration, DataCentreName name) {
    return configuration.dataCentresOut().contains(name)
        ? List.of()
        : List.of(
            new Fault(
                "data centre",
                name.toString(),
                "one that is out of service; out are " + listed(configuration.dataCentresOut())));
  }

  /** Returns a fault for an unknown name that suggests the most similar known one. */
  static List<Fault> unknownNameFaults(String subject, Object name, Set<?> known) {
    List<String> names = known.stream().map(Object::toString).toList();
    String expected =
        NearestName.of(name.toString(), names)
            .map("a known one, such as '%s'"::formatted)
            .orElse("a known one; there is none");
    return List.of(new Fault(subject, name.toString(), expected));
  }

  private static String listed(Set<?> names) {
    return names.isEmpty()
        ? "none"
        : names.stream().map(Object::toString).collect(Collectors.joining(", "));
  }
}
