package org.waxwingbeam.tools.sessions;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.waxwingbeam.caller.CrashRecord;
import org.waxwingbeam.control.ClaimCodec;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LeasedEntryView;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.operator.Change;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.Decision;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.WarmupState;
import org.waxwingbeam.wire.operator.ChangeAnswer;

/** Holds every actor of a session and writes down what each of them sees. */
final class SessionWorld {
  private static final long NETWORK_MS = 2;
  private static final long TICK_MS = 5;

  private final SessionClock clock = new SessionClock();
  private final SessionControl control = new SessionControl();
  private final SortedMap<String, SessionEntry> entries = new TreeMap<>();
  private final SortedMap<String, SessionTarget> targets = new TreeMap<>();
  private final Map<TargetId, SessionTarget> targetsById = new HashMap<>();
  private final Map<Long, SessionRequest> attempts = new HashMap<>();
  private final StringBuilder output = new StringBuilder();
  private long lastAttempt;
  private long lastRequest;

  SessionClock clock() {
    return clock;
  }

  SessionControl control() {
    return control;
  }

  String output() {
    return output.toString();
  }

  void print(String text) {
    output.append("%6d  %s%n".formatted(clock.nowMs(), text));
  }

  void addEntry(String name, String dataCentre) {
    entries.put(name, new SessionEntry(name, dataCentre, this::view, this::shareWarmth));
    deliverNewest(entries.get(name));
    tick(name);
  }

  /** Returns a view of every entry instance whose lease does not run out. */
  private LeasedEntryView view() {
    List<EntryView.Member> members =
        entries.values().stream()
            .map(
                entry ->
                    new EntryView.Member(
                        entry.name(), entry.dataCentre(), new Endpoint("10.8.0.1", 0)))
            .toList();
    return new LeasedEntryView(new EntryView(1, members), 0, Long.MAX_VALUE);
  }

  private void tick(String name) {
    SessionEntry entry = entries.get(name);
    handOn(entry.dispatcher().tick(clock.nowNanos()));
    clock.after(TICK_MS, () -> tick(name));
  }

  SessionEntry entry(String name) {
    return entries.get(name);
  }

  /** Drops what an entry instance held in memory, as its process does when it ends. */
  void restartEntry(String name, String dataCentre) {
    SessionEntry fresh = new SessionEntry(name, dataCentre, this::view, this::shareWarmth);
    entries.put(name, fresh);
    claim(fresh, ClaimCodec.encodeEntryGone(new InstanceName(name)));
    deliverNewest(fresh);
    targets.values().forEach(this::announce);
  }

  void addTarget(SessionLine line) {
    String name = line.word(1);
    int number = targets.containsKey(name) ? numberOf(name) : targets.size() + 1;
    SessionTarget target = new SessionTarget(name, number, line);
    targets.put(name, target);
    targetsById.put(target.announcement().target(), target);
    announce(target);
  }

  private int numberOf(String name) {
    String host = targets.get(name).announcement().target().host();
    return Integer.parseInt(host.substring(host.lastIndexOf('.') + 1));
  }

  SessionTarget target(String name) {
    return targets.get(name);
  }

  SessionTarget target(TargetId id) {
    return targetsById.get(id);
  }

  /** Tells every entry instance what a target says of itself. */
  void announce(SessionTarget target) {
    entries
        .values()
        .forEach(entry -> entry.registry().announce(clock.nowNanos(), target.announcement()));
  }

  /** Tells every entry instance that a target has passed its cold start. */
  void findWarm(SessionTarget target) {
    TargetAnnouncement announcement = target.announcement();
    long number = control.configuration().number();
    shareWarmth(new WarmupState(announcement.target(), announcement.bootId(), 1, true, number));
  }

  private void shareWarmth(WarmupState found) {
    clock.after(NETWORK_MS, () -> entries.values().forEach(entry -> entry.warmth().merge(found)));
  }

  /** Sends an operator's change to the control replicas and prints their answer. */
  void change(String operator, String id, long basedOn, Change change) {
    Optional<ChangeAnswer> answer = control.change(clock.nowMs(), id, basedOn, change);
    print(
        "operator %s is told %s"
            .formatted(operator, answer.map(SessionWorld::text).orElse("nothing")));
    entries.values().forEach(this::deliverNewest);
  }

  private static String text(ChangeAnswer answer) {
    return switch (answer.getResult()) {
      case ACCEPTED -> "accepted as " + answer.getNumber();
      case CONFLICT -> "conflict, the current number is " + answer.getCurrentNumber();
      case REFUSED -> "refused: " + String.join("; ", answer.getReasonsList());
      default -> answer.getResult().name();
    };
  }

  /** Sends the newest configuration to an entry instance unless it is cut off. */
  void deliverNewest(SessionEntry entry) {
    Configuration newest = control.configuration();
    clock.after(NETWORK_MS, () -> deliver(entry, newest));
  }

  /** Hands a configuration to an entry instance, as a late message may do with an old one. */
  void deliver(SessionEntry entry, Configuration configuration) {
    if (!entry.isCut() && entry.applied().applyIfNewer(configuration)) {
      print("entry %s applies configuration %d".formatted(entry.name(), configuration.number()));
    }
  }

  /** Sends a command to the claim table, or returns empty if the quorum can't be reached. */
  Optional<ByteString> claim(SessionEntry entry, ByteString command) {
    return entry.isCut() ? Optional.empty() : control.claim(clock.nowMs(), command);
  }

  void sharePoison(SessionEntry from) {
    List<CrashRecord> records = from.poison().drainChanges(clock.nowNanos());
    clock.after(
        NETWORK_MS,
        () ->
            entries.values().stream()
                .filter(entry -> entry != from)
                .forEach(
                    entry ->
                        records.forEach(record -> entry.poison().merge(clock.nowNanos(), record))));
  }

  void send(SessionLine line) {
    SessionEntry entry = entries.get(line.word(6));
    new SessionRequest(this, entry, ++lastRequest, line).arrive();
  }

  long nextAttempt(SessionRequest request) {
    attempts.put(++lastAttempt, request);
    return lastAttempt;
  }

  /** Hands later decisions of a dispatcher to their requests. */
  void handOn(List<Decision> decisions) {
    decisions.forEach(decision -> attempts.get(decision.attemptId()).decided(decision));
  }
}
