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

/** Holds the actors of a session, connects them and records their output. */
final class SessionSystem {
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
    entries.put(name, new SessionEntry(name, dataCentre, this::entryView, this::shareWarmupState));
    sendLatestConfiguration(entries.get(name));
    tick(name);
  }

  /** Returns a view of all entry instances with a lease that does not expire. */
  private LeasedEntryView entryView() {
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
    deliverDecisions(entry.dispatcher().tick(clock.nowNanos()));
    clock.scheduleAfter(TICK_MS, () -> tick(name));
  }

  SessionEntry entry(String name) {
    return entries.get(name);
  }

  /** Replaces an entry instance by one with empty state, as after a restart of its process. */
  void restartEntry(String name, String dataCentre) {
    SessionEntry restarted =
        new SessionEntry(name, dataCentre, this::entryView, this::shareWarmupState);
    entries.put(name, restarted);
    sendClaimCommand(restarted, ClaimCodec.encodeEntryGone(new InstanceName(name)));
    sendLatestConfiguration(restarted);
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

  /** Sends a target's announcement to every entry instance. */
  void announce(SessionTarget target) {
    entries
        .values()
        .forEach(entry -> entry.registry().announce(clock.nowNanos(), target.announcement()));
  }

  /** Reports to every entry instance that a target is warm. */
  void reportWarm(SessionTarget target) {
    TargetAnnouncement announcement = target.announcement();
    long number = control.configuration().number();
    shareWarmupState(
        new WarmupState(announcement.target(), announcement.bootId(), 1, true, number));
  }

  private void shareWarmupState(WarmupState state) {
    clock.scheduleAfter(
        NETWORK_MS, () -> entries.values().forEach(entry -> entry.warmupStates().merge(state)));
  }

  /** Sends an operator's change to the control replicas and prints their response. */
  void submitChange(String operator, String id, long basedOn, Change change) {
    Optional<ChangeAnswer> response = control.submitChange(clock.nowMs(), id, basedOn, change);
    print(
        "operator %s is told %s"
            .formatted(operator, response.map(SessionSystem::describe).orElse("nothing")));
    entries.values().forEach(this::sendLatestConfiguration);
  }

  private static String describe(ChangeAnswer response) {
    return switch (response.getResult()) {
      case ACCEPTED -> "accepted as " + response.getNumber();
      case CONFLICT -> "conflict, the current number is " + response.getCurrentNumber();
      case REFUSED -> "refused: " + String.join("; ", response.getReasonsList());
      default -> response.getResult().name();
    };
  }

  /** Sends the latest configuration to an entry instance unless it is cut off on arrival. */
  void sendLatestConfiguration(SessionEntry entry) {
    Configuration latest = control.configuration();
    clock.scheduleAfter(NETWORK_MS, () -> deliverConfiguration(entry, latest));
  }

  /**
   * Delivers a configuration to an entry instance; the configuration may be old, as in a late
   * message.
   */
  void deliverConfiguration(SessionEntry entry, Configuration configuration) {
    if (!entry.isCutOff() && entry.applied().applyIfNewer(configuration)) {
      print("entry %s applies configuration %d".formatted(entry.name(), configuration.number()));
    }
  }

  /**
   * Sends a command to the claim table; returns empty if the entry instance can't reach a quorum.
   */
  Optional<ByteString> sendClaimCommand(SessionEntry entry, ByteString command) {
    return entry.isCutOff() ? Optional.empty() : control.applyClaimCommand(clock.nowMs(), command);
  }

  void shareCrashRecords(SessionEntry origin) {
    List<CrashRecord> records = origin.poison().drainChanges(clock.nowNanos());
    clock.scheduleAfter(
        NETWORK_MS,
        () ->
            entries.values().stream()
                .filter(entry -> entry != origin)
                .forEach(
                    entry ->
                        records.forEach(record -> entry.poison().merge(clock.nowNanos(), record))));
  }

  void startRequest(SessionLine line) {
    SessionEntry entry = entries.get(line.word(6));
    new SessionRequest(this, entry, ++lastRequest, line).arrive();
  }

  long nextAttempt(SessionRequest request) {
    attempts.put(++lastAttempt, request);
    return lastAttempt;
  }

  /** Delivers later decisions of a dispatcher to their requests. */
  void deliverDecisions(List<Decision> decisions) {
    decisions.forEach(decision -> attempts.get(decision.attemptId()).onDecision(decision));
  }
}
