package org.waxwingbeam.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.waxwingbeam.model.Account;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.AccountTerms;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.ErrorKind;
import org.waxwingbeam.model.Parameter;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.RouteRule;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.Template;
import org.waxwingbeam.model.TemplateName;

class RequestClassifierTest {
  private static final TemplateName STOCK = new TemplateName("stock");

  private final RequestClassifier classifier = new RequestClassifier(configuration());

  @Test
  void hostAndPathSelectAccountAndRoute() {
    assertThat(routeOf("GET", "bar.stock.example:8080", "/grades/fast?cold=1"))
        .isEqualTo("bar grades");
    assertThat(routeOf("GET", "BAR.stock.example", "/grades/fast/deep")).isEqualTo("bar other");
    assertThat(routeOf("POST", "bar.stock.example", "/grades/fast")).isEqualTo("bar other");
    assertThat(routeOf("GET", "bar.stock.example", "/")).isEqualTo("bar other");
  }

  @Test
  void escapedLettersMatchAsLetters() {
    assertThat(routeOf("GET", "bar.stock.example", "/gr%61des/fast")).isEqualTo("bar grades");
    assertThat(routeOf("GET", "bar.stock.example", "/grades%2Ffast")).isEqualTo("bar other");
  }

  @Test
  void pathsThatTargetsMayInterpretDifferentlyAreRefused() {
    List.of("/grades/../orders", "/grades/%2e%2e/orders", "/a/.", "/a%zz", "a", "*", "/a%2")
        .forEach(
            path ->
                assertThat(refusalOf("bar.stock.example", path))
                    .isEqualTo(ErrorKind.MALFORMED_REQUEST));
  }

  @Test
  void accountWithoutTermsForTheTemplateIsUnknown() {
    assertThat(refusalOf("shop.stock.example", "/")).isEqualTo(ErrorKind.UNKNOWN_ACCOUNT);
    assertThat(refusalOf("nobody.stock.example", "/")).isEqualTo(ErrorKind.UNKNOWN_ACCOUNT);
    assertThat(refusalOf("bar.other.example", "/")).isEqualTo(ErrorKind.NO_ROUTE);
  }

  @Test
  void parametersOfTheAccountOverrideThoseOfTheTemplate() {
    RoutePolicy policy = policy("GET", "bar.stock.example", "/grades/fast").orElseThrow();

    assertThat(policy.value(Parameter.DEADLINE)).isEqualTo(500);
    assertThat(policy.value(Parameter.QUEUE_LIMIT)).isEqualTo(7);
    assertThat(policy.value(Parameter.RETRY_BUDGET)).isEqualTo(10);
  }

  private String routeOf(String method, String host, String path) {
    return policy(method, host, path)
        .map(found -> found.account() + " " + found.route())
        .orElse("refused");
  }

  private Optional<RoutePolicy> policy(String method, String host, String path) {
    return switch (classifier.classify(method, host, path)) {
      case Classification.Accepted accepted -> Optional.of(accepted.policy());
      case Classification.Refused refused -> Optional.empty();
    };
  }

  private ErrorKind refusalOf(String host, String path) {
    return switch (classifier.classify("GET", host, path)) {
      case Classification.Accepted accepted -> throw new AssertionError(accepted);
      case Classification.Refused refused -> refused.kind();
    };
  }

  private static Configuration configuration() {
    Parameters parameters =
        Parameters.NONE.with(Parameter.DEADLINE, 2_000).with(Parameter.QUEUE_LIMIT, 7);
    Template template =
        new Template(
            STOCK,
            new ServiceName("catalogue"),
            "{account}.stock.example",
            List.of(
                rule("grades", Optional.of("GET"), "/grades/*"),
                rule("other", Optional.empty(), "/**")),
            parameters);
    AccountTerms terms = new AccountTerms(STOCK, Parameters.NONE.with(Parameter.DEADLINE, 500));
    return new Configuration(
        3,
        new TreeMap<>(Map.of(STOCK, template)),
        new TreeMap<>(
            Map.of(
                new AccountName("bar"),
                new Account(new AccountName("bar"), List.of(terms)),
                new AccountName("shop"),
                new Account(new AccountName("shop"), List.of()))),
        new TreeSet<>(),
        new TreeMap<>());
  }

  private static RouteRule rule(String name, Optional<String> method, String path) {
    return new RouteRule(new RouteName(name), method, path, true, false);
  }
}
