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

/** Turns the words of a command line into an action. */
final class ActionParser {
  private final OperateLine.Parsed line;
  private final long nowMs;

  ActionParser(OperateLine.Parsed line, long nowMs) {
    this.line = line;
    this.nowMs = nowMs;
  }

  Action parse() throws UsageException, IOException {
    List<String> words = line.words();
    if (words.isEmpty()) {
      throw new UsageException("an action is missing");
    }
    try {
      return parse(words.getFirst(), words.subList(1, words.size()));
    } catch (InvalidNameException wrong) {
      throw new UsageException(wrong.getMessage());
    }
  }

  private Action parse(String subject, List<String> words) throws UsageException, IOException {
    return switch (subject) {
      case "template" -> template(verb(subject, words), words);
      case "account" -> account(verb(subject, words), words);
      case "data-centre" -> dataCentre(verb(subject, words), words);
      case "version" -> version(verb(subject, words), words);
      case "replica" -> replica(verb(subject, words), words);
      case "status" -> alone(subject, words, new Action.ShowStatus());
      case "history" -> history(words);
      default ->
          throw unknown(
              subject, "template, account, data-centre, version, replica, status" + " or history");
    };
  }

  private Action template(String verb, List<String> words) throws UsageException, IOException {
    return switch (verb) {
      case "list" -> show(Action.Part.TEMPLATES, words);
      case "get" -> showOne(Action.Part.TEMPLATES, words);
      case "put" ->
          new Action.Submit(
              new Change.PutTemplate(valid(DefinitionReader.template(Path.of(only(words))))));
      case "remove" -> new Action.Submit(new Change.RemoveTemplate(new TemplateName(only(words))));
      default -> throw unknown(verb, "list, get, put or remove");
    };
  }

  private Action account(String verb, List<String> words) throws UsageException, IOException {
    return switch (verb) {
      case "list" -> show(Action.Part.ACCOUNTS, words);
      case "get" -> showOne(Action.Part.ACCOUNTS, words);
      case "put" ->
          new Action.Submit(
              new Change.PutAccount(valid(DefinitionReader.account(Path.of(only(words))))));
      case "remove" -> new Action.Submit(new Change.RemoveAccount(new AccountName(only(words))));
      default -> throw unknown(verb, "list, get, put or remove");
    };
  }

  private static Action dataCentre(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "list" -> show(Action.Part.DATA_CENTRES, words);
      case "out" ->
          new Action.Submit(new Change.TakeDataCentreOut(new DataCentreName(only(words))));
      case "in" -> new Action.Submit(new Change.BringDataCentreIn(new DataCentreName(only(words))));
      default -> throw unknown(verb, "list, out or in");
    };
  }

  private Action version(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "status" -> show(Action.Part.MOVES, words);
      case "move" -> new Action.Submit(move(new ServiceName(only(words))));
      case "back" ->
          new Action.Submit(
              new Change.RollBackMove(
                  new ServiceName(only(words)), needed("--reason", line.reason())));
      default -> throw unknown(verb, "status, move or back");
    };
  }

  private Change move(ServiceName service) throws UsageException {
    VersionName to = new VersionName(needed("--to", line.to()));
    long deadlineMs = deadlineMs(needed("--deadline", line.deadline()));
    return new Change.MoveVersion(service, line.from().map(VersionName::new), to, deadlineMs);
  }

  private long deadlineMs(String text) throws UsageException {
    OptionalLong fromNow = Quantity.DURATION.parse(text);
    if (fromNow.isPresent()) {
      return nowMs + fromNow.getAsLong();
    }
    try {
      return OffsetDateTime.parse(text).toInstant().toEpochMilli();
    } catch (DateTimeException wrong) {
      throw new UsageException(
          "--deadline '%s': expected a duration such as 30 min or a time such as".formatted(text)
              + " 2027-01-31T20:00Z");
    }
  }

  private static Action replica(String verb, List<String> words) throws UsageException {
    return switch (verb) {
      case "list" ->
          alone("replica list", words.subList(1, words.size()), new Action.ShowReplicas());
      case "replace" -> {
        if (words.size() != 3) {
          throw new UsageException("replica replace: expected the old and the new replica id");
        }
        yield new Action.ReplaceReplica(words.get(1), words.get(2));
      }
      default -> throw unknown(verb, "list or replace");
    };
  }

  private static Action history(List<String> words) throws UsageException {
    if (words.isEmpty()) {
      return new Action.ShowHistory(1);
    }
    try {
      return new Action.ShowHistory(Long.parseLong(words.getFirst()));
    } catch (NumberFormatException wrong) {
      throw new UsageException("history '%s': expected a number".formatted(words.getFirst()));
    }
  }

  private static Action show(Action.Part part, List<String> words) throws UsageException {
    return alone(
        words.getFirst(),
        words.subList(1, words.size()),
        new Action.ShowConfiguration(part, Optional.empty()));
  }

  private static Action showOne(Action.Part part, List<String> words) throws UsageException {
    return new Action.ShowConfiguration(part, Optional.of(only(words)));
  }

  private static Action alone(String what, List<String> rest, Action action) throws UsageException {
    if (!rest.isEmpty()) {
      throw new UsageException("%s: unexpected '%s'".formatted(what, rest.getFirst()));
    }
    return action;
  }

  private static String verb(String subject, List<String> words) throws UsageException {
    if (words.isEmpty()) {
      throw new UsageException("%s: an action is missing; see --help".formatted(subject));
    }
    return words.getFirst();
  }

  /** Returns the single word after the verb. */
  private static String only(List<String> words) throws UsageException {
    if (words.size() != 2) {
      throw new UsageException(
          "%s: expected one word after it, found %d".formatted(words.getFirst(), words.size() - 1));
    }
    return words.getLast();
  }

  private static String needed(String option, Optional<String> value) throws UsageException {
    return value.orElseThrow(() -> new UsageException(option + " is missing"));
  }

  private static <T> T valid(DefinitionResult<T> result) throws UsageException {
    return switch (result) {
      case DefinitionResult.Valid<T> valid -> valid.value();
      case DefinitionResult.Invalid<T> invalid ->
          throw new UsageException(
              invalid.faults().stream()
                  .map(SettingsFault::message)
                  .collect(Collectors.joining("\n")));
    };
  }

  private static UsageException unknown(String word, String expected) {
    return new UsageException("unknown action '%s': expected %s".formatted(word, expected));
  }
}
