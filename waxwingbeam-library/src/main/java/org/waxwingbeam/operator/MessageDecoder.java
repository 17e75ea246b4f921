package org.waxwingbeam.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.text.NearestName;
import org.waxwingbeam.wire.configuration.ParameterValue;

/** Decodes wire messages into values of the model and collects all faults. */
final class MessageDecoder {
  private final List<Fault> faults = new ArrayList<>();

  /** Returns the decoded value if no fault was found, and throws an exception otherwise. */
  <T> T finish(Optional<T> value) throws MalformedMessageException {
    if (!faults.isEmpty()) {
      throw new MalformedMessageException(faults);
    }
    return value.orElseThrow();
  }

  void add(Fault fault) {
    faults.add(fault);
  }

  /** Decodes a name, for example {@code name(ServiceName::new, "listing")}. */
  <T> Optional<T> name(Function<String, T> constructor, String value) {
    try {
      return Optional.of(constructor.apply(value));
    } catch (InvalidNameException invalid) {
      add(new Fault(invalid.kind() + " name", value, InvalidNameException.EXPECTED));
      return Optional.empty();
    }
  }

  Optional<Configuration> configuration(org.waxwingbeam.wire.configuration.Configuration message) {
    var templates = byKey(message.getTemplatesList(), this::template, Template::name);
    var accounts = byKey(message.getAccountsList(), this::account, Account::name);
    var out = new TreeSet<DataCentreName>();
    message
        .getDataCentresOutList()
        .forEach(value -> name(DataCentreName::new, value).ifPresent(out::add));
    var moves = byKey(message.getMovesList(), this::move, VersionMove::service);
    return Optional.of(new Configuration(message.getNumber(), templates, accounts, out, moves));
  }

  private static <M, K extends Comparable<K>, V> SortedMap<K, V> byKey(
      Collection<M> messages, Function<M, Optional<V>> decode, Function<V, K> key) {
    SortedMap<K, V> values = new TreeMap<>();
    messages.forEach(
        message -> decode.apply(message).ifPresent(value -> values.put(key.apply(value), value)));
    return values;
  }

  Optional<Template> template(org.waxwingbeam.wire.configuration.Template message) {
    Optional<TemplateName> name = name(TemplateName::new, message.getName());
    Optional<ServiceName> service = name(ServiceName::new, message.getService());
    List<RouteRule> routes =
        message.getRoutesList().stream().flatMap(each -> route(each).stream()).toList();
    String subject = "template '%s' parameter".formatted(message.getName());
    Parameters parameters = parameters(subject, message.getParametersList());
    return name.flatMap(
        template ->
            service.map(
                serviceName ->
                    new Template(
                        template, serviceName, message.getHostPattern(), routes, parameters)));
  }

  private Optional<RouteRule> route(org.waxwingbeam.wire.configuration.RouteRule message) {
    Optional<String> method = Optional.of(message.getMethod()).filter(word -> !word.isEmpty());
    return name(RouteName::new, message.getName())
        .map(
            name ->
                new RouteRule(
                    name,
                    method,
                    message.getPathPattern(),
                    message.getIdempotent(),
                    message.getTransfer()));
  }

  Optional<Account> account(org.waxwingbeam.wire.configuration.Account message) {
    List<AccountTerms> terms =
        message.getTermsList().stream()
            .flatMap(each -> terms(message.getName(), each).stream())
            .toList();
    return name(AccountName::new, message.getName()).map(name -> new Account(name, terms));
  }

  private Optional<AccountTerms> terms(
      String account, org.waxwingbeam.wire.configuration.AccountTerms message) {
    String subject =
        "client account '%s' template '%s' parameter".formatted(account, message.getTemplate());
    Parameters parameters = parameters(subject, message.getParametersList());
    return name(TemplateName::new, message.getTemplate())
        .map(template -> new AccountTerms(template, parameters));
  }

  private Parameters parameters(String subject, List<ParameterValue> messages) {
    Parameters parameters = Parameters.NONE;
    for (ParameterValue message : messages) {
      Optional<Parameter> parameter = parameter(subject, message);
      if (parameter.isPresent()) {
        parameters = parameters.with(parameter.get(), message.getValue());
      }
    }
    return parameters;
  }

  private Optional<Parameter> parameter(String subject, ParameterValue message) {
    Optional<Parameter> known = Parameter.ofKey(message.getKey());
    if (known.isEmpty()) {
      List<String> keys = List.of(Parameter.values()).stream().map(Parameter::key).toList();
      String nearest = NearestName.of(message.getKey(), keys).orElseThrow();
      add(new Fault(subject, message.getKey(), "a known one, such as '%s'".formatted(nearest)));
      return Optional.empty();
    }
    Parameter parameter = known.get();
    if (message.getValue() < parameter.min() || message.getValue() > parameter.max()) {
      String range = "%d to %d".formatted(parameter.min(), parameter.max());
      add(new Fault(subject + " " + parameter.key(), "" + message.getValue(), range));
      return Optional.empty();
    }
    return known;
  }

  private Optional<VersionMove> move(org.waxwingbeam.wire.configuration.VersionMove message) {
    Optional<ServiceName> service = name(ServiceName::new, message.getService());
    Optional<VersionName> from = name(VersionName::new, message.getFrom());
    Optional<VersionName> to = name(VersionName::new, message.getTo());
    Optional<VersionMove.State> state = state(message.getState());
    if (service.isEmpty() || from.isEmpty() || to.isEmpty() || state.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new VersionMove(
            service.get(),
            from.get(),
            to.get(),
            message.getStartMs(),
            message.getDeadlineMs(),
            message.getSharePerMille(),
            state.get(),
            message.getReason()));
  }

  Optional<VersionMove.State> state(org.waxwingbeam.wire.configuration.VersionMove.State state) {
    return switch (state) {
      case RUNNING -> Optional.of(VersionMove.State.RUNNING);
      case SOAKING -> Optional.of(VersionMove.State.SOAKING);
      case FINISHED -> Optional.of(VersionMove.State.FINISHED);
      case ROLLED_BACK -> Optional.of(VersionMove.State.ROLLED_BACK);
      case STATE_UNSPECIFIED, UNRECOGNIZED -> {
        add(
            new Fault(
                "version move state", state.name(), "RUNNING, SOAKING, FINISHED or ROLLED_BACK"));
        yield Optional.empty();
      }
    };
  }
}
