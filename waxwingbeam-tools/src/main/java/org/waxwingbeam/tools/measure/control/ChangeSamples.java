package org.waxwingbeam.tools.measure.control;

import org.waxwingbeam.wire.configuration.ParameterValue;
import org.waxwingbeam.wire.configuration.RouteRule;
import org.waxwingbeam.wire.configuration.Template;
import org.waxwingbeam.wire.operator.Change;
import org.waxwingbeam.wire.operator.ChangeRequest;
import org.waxwingbeam.wire.replica.Command;
import org.waxwingbeam.wire.replica.ProposedChange;

/** Builds changes of a typical size: a template with two routes and two parameters. */
final class ChangeSamples {
  private static final int SERVICES = 50;

  private ChangeSamples() {}

  static ChangeRequest request(long basedOn) {
    long service = basedOn % SERVICES;
    Template template =
        Template.newBuilder()
            .setName("template-" + service)
            .setService("service-" + service)
            .setHostPattern("{account}.service-" + service + ".example")
            .addRoutes(route("list", "GET", "/items/**", true))
            .addRoutes(route("order", "POST", "/orders", false))
            .addParameters(parameter("deadline", 1_000 + basedOn))
            .addParameters(parameter("retry-budget", 10))
            .build();
    return ChangeRequest.newBuilder()
        .setChangeId("change-" + basedOn)
        .setBasedOn(basedOn)
        .setOperator("operator")
        .setChange(Change.newBuilder().setPutTemplate(template))
        .build();
  }

  static Command command(long basedOn) {
    return Command.newBuilder()
        .setChange(
            ProposedChange.newBuilder()
                .setRequest(request(basedOn))
                .setProposedMs(1_700_000_000_000L))
        .build();
  }

  private static RouteRule route(String name, String method, String path, boolean idempotent) {
    return RouteRule.newBuilder()
        .setName(name)
        .setMethod(method)
        .setPathPattern(path)
        .setIdempotent(idempotent)
        .build();
  }

  private static ParameterValue parameter(String key, long value) {
    return ParameterValue.newBuilder().setKey(key).setValue(value).build();
  }
}
