package org.waxwingbeam.daemon.operate;

import java.io.IOException;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InvalidNameException;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TemplateName;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.settings.DefinitionReader;
import org.waxwingbeam.settings.DefinitionResult;
import org.waxwingbeam.settings.SettingsFault;
import org.waxwingbeam.text.Quantity;

/** Parses the non-option arguments of a command line into an action. */
final class ActionParser {
  private final OperateCommandLine.Parsed commandLine;
  private final long nowMs;

  ActionParser(OperateCommandLine.Parsed commandLine, long nowMs) {
    this.commandLine = commandLine;
    this.nowMs = nowMs;
  }

  Action parse() throws UsageException, IOException {
    List<String> words = commandLine.arguments();
    if (words.isEmpty()) {
      throw new UsageException("an action is missing");
    }
    try {
      return parse(words.getFirst(), words.subList(1, words.size()));
    } catch (InvalidNameException invalid) {
      throw new UsageException(invalid.getMessage());
    }
  }

  private Action parse(String subject, List<String> words) throws UsageException, IOException {
    return switch (subject) {
      case "template" -> parseTemplate(requireVerb(subject, words), words);
      case "account" -> parseAccount(requireVerb(subject, words), words);
      case "data-centre" -> parseDataCentre(requireVerb(subject, words), words);
      case "version" -> parseVersion(requireVerb(subject, words), words);
      case "replica" -> parseReplica(requireVerb(subject, words), words);
      case "status" -> withoutArguments(subject, words, new Action.ShowStatus());
      case "history" -> parseHistory(words);
      default ->
          throw unknownAction(
              subject, "template, account, data-centre, version, replica, status" + " or history");
    };
  }

  private Action parseTemplate(String verb, List<String> words) throws UsageException, IOException {
    return switch (verb) {
      case "list" -> showAll(Action.Part.TEMPLATES, words);
      case "get" -> showOne(Action.Part.TEMPLATES, words);
      case "put" ->
          new Action.Submit(
              new Change.PutTemplate(
                  validOrThrow(DefinitionReader.template(Path.of(singleArgument(words))))));
      case "remove" ->
          new Action.Submit(new Change.RemoveTemplate(new TemplateName(singleArgument(words))));
      default -> throw unknownAction(verb, "list, get, put or remove");
    };
  }

  private Action parseAccount(String verb, List<String> words) throws UsageException, IOException {
    return switch (verb) {
      case "list" -> showAll(Action.Part.ACCOUNTS, words);
      case "get" -> showOne(Action.Part.ACCOUNTS, words);
      case "put" ->
          new Action.Submit(
              new Change.PutAccount(
                  validOrThrow(DefinitionReader.account(Path.of(singleArgument(words))))));
      case "remove" ->
          new Action.Submit(new Change.RemoveAccount(new AccountName(singleArgument(words))));
      default -> throw unknownAction(verb, "list, get, put or remove");
    };
  }

  private static Action parseDataCentre(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "list" -> showAll(Action.Part.DATA_CENTRES, words);
      case "out" ->
          new Action.Submit(
              new Change.TakeDataCentreOut(new DataCentreName(singleArgument(words))));
      case "in" ->
          new Action.Submit(
              new Change.BringDataCentreIn(new DataCentreName(singleArgument(words))));
      default -> throw unknownAction(verb, "list, out or in");
    };
  }

  private Action parseVersion(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "status" -> showAll(Action.Part.MOVES, words);
      case "move" -> new Action.Submit(parseMove(new ServiceName(singleArgument(words))));
      case "back" ->
          new Action.Submit(
              new Change.RollBackMove(
                  new ServiceName(singleArgument(words)),
                  required("--reason", commandLine.reason())));
      default -> throw unknownAction(verb, "status, move or back");
    };
  }

  private Change parseMove(ServiceName service) throws UsageException {
    VersionName to = new VersionName(required("--to", commandLine.to()));
    long deadlineMs = parseDeadlineMs(required("--deadline", commandLine.deadline()));
    return new Change.MoveVersion(
        service, commandLine.from().map(VersionName::new), to, deadlineMs);
  }

  private long parseDeadlineMs(String text) throws UsageException {
    OptionalLong duration = Quantity.DURATION.parse(text);
    if (duration.isPresent()) {
      return nowMs + duration.getAsLong();
    }
    try {
      return OffsetDateTime.parse(text).toInstant().toEpochMilli();
    } catch (DateTimeException invalid) {
      throw new UsageException(
          "--deadline '%s': expected a duration such as 30 min or a time such as".formatted(text)
              + " 2027-01-31T20:00Z");
    }
  }

  private static Action parseReplica(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "list" ->
          withoutArguments(
              "replica list", words.subList(1, words.size()), new Action.ShowReplicas());
      case "replace" -> {
        if (words.size() != 3) {
          throw new UsageException("replica replace: expected the old and the new replica id");
        }
        yield new Action.ReplaceReplica(words.get(1), words.get(2));
      }
      default -> throw unknownAction(verb, "list or replace");
    };
  }

  private static Action parseHistory(List<String> words) throws UsageException {
    if (words.isEmpty()) {
      return new Action.ShowHistory(1);
    }
    try {
      return new Action.ShowHistory(Long.parseLong(words.getFirst()));
    } catch (NumberFormatException invalid) {
      throw new UsageException("history '%s': expected a number".formatted(words.getFirst()));
    }
  }

  private static Action showAll(Action.Part part, List<String> words) throws UsageException {
    return withoutArguments(
        words.getFirst(),
        words.subList(1, words.size()),
        new Action.ShowConfiguration(part, Optional.empty()));
  }

  private static Action showOne(Action.Part part, List<String> words) throws UsageException {
    return new Action.ShowConfiguration(part, Optional.of(singleArgument(words)));
  }

  private static Action withoutArguments(String action, List<String> arguments, Action result)
      throws UsageException {
    if (!arguments.isEmpty()) {
      throw new UsageException("%s: unexpected '%s'".formatted(action, arguments.getFirst()));
    }
    return result;
  }

  private static String requireVerb(String subject, List<String> words) throws UsageException {
    if (words.isEmpty()) {
      throw new UsageException("%s: an action is missing; see --help".formatted(subject));
    }
    return words.getFirst();
  }

  /** Returns the single argument after the verb. */
  private static String singleArgument(List<String> words) throws UsageException {
    if (words.size() != 2) {
      throw new UsageException(
          "%s: expected one word after it, found %d".formatted(words.getFirst(), words.size() - 1));
    }
    return words.getLast();
  }

  private static String required(String option, Optional<String> value) throws UsageException {
    return value.orElseThrow(() -> new UsageException(option + " is missing"));
  }

  private static <T> T validOrThrow(DefinitionResult<T> result) throws UsageException {
    return switch (result) {
      case DefinitionResult.Valid<T> valid -> valid.value();
      case DefinitionResult.Invalid<T> invalid ->
          throw new UsageException(
              invalid.faults().stream()
                  .map(SettingsFault::message)
                  .collect(Collectors.joining("\n")));
    };
  }

  private static UsageException unknownAction(String word, String expected) {
    return new UsageException("unknown action '%s': expected %s".formatted(word, expected));
  }
}
