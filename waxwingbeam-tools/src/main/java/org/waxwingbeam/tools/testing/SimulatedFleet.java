package org.waxwingbeam.tools.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.DataCentreName;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.TargetId;
import org.waxwingbeam.model.VersionName;
import org.waxwingbeam.settings.Endpoint;
import org.waxwingbeam.target.ChoicePolicy;
import org.waxwingbeam.target.EntryDispatcher;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.target.WarmupState;

/**
 * A simulated fleet on a manual clock: entries with real dispatchers in front of simulated targets
 * of one service.
 *
 * <pre>{@code
 * SimulatedFleet fleet = new SimulatedFleet(FleetShape.LISTING, policy, Hedging.NONE, seed);
 * fleet.generateRequests(0.7, 0, TimeUnit.SECONDS.toNanos(5));
 * fleet.loop().runUntil(TimeUnit.SECONDS.toNanos(5));
 * }</pre>
 *
 * @since 0.1.0
 */
public final class SimulatedFleet {
  /** The service to which all targets belong. */
  public static final ServiceName SERVICE = new ServiceName("listing");

  private static final AccountName ACCOUNT = new AccountName("alpha");
  private static final RouteName ROUTE = new RouteName("list");
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long TIME_TO_LIVE_MS = 3_000;
  private static final long PROBE_COST_NANOS = TimeUnit.MILLISECONDS.toNanos(6);
  private static final long PROBE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SHARE_OUTSTANDING_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
  private static final long PROPAGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long MAX_APPLY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long RESTART_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long DETECTION_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int FIRST_PORT = 9_000;

  private final EventLoop loop = new EventLoop();
  private final FleetShape shape;
  private final SplittableRandom random;
  private final Map<TargetId, SimulatedTarget> targets = new LinkedHashMap<>();
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final List<FleetMember> members = new ArrayList<>();
  private final FleetRecord record = new FleetRecord();
  private EntryView view = EntryView.EMPTY;
  private Configuration configuration = Configuration.EMPTY;

  /**
   * Creates a fleet whose targets are known to all entries and warm.
   *
   * @param shape its size
   * @param policy how the entries choose targets
   * @param hedging when requests are hedged
   * @param seed seed of all random numbers
   */
  public SimulatedFleet(
      FleetShape shape, ChoicePolicy policy, SimulatedEntry.Hedging hedging, long seed) {
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    IntStream.range(0, shape.targets()).forEach(this::addTarget);
    IntStream.range(0, shape.entries()).forEach(each -> addEntry(each, policy, hedging));
    targets().forEach(target -> members.forEach(each -> each.mergeWarmup(warmState(target))));
    issueView(List.of());
    loop.scheduleAtFixedRate(TimeUnit.MILLISECONDS.toNanos(TIME_TO_LIVE_MS / 3), this::announceAll);
    loop.scheduleAtFixedRate(TICK_NANOS, () -> entries.forEach(SimulatedEntry::tick));
    switch (policy) {
      case ChoicePolicy.ProbedPool probed ->
          loop.scheduleAtFixedRate(PROBE_PERIOD_NANOS, this::probeOneTarget);
      case ChoicePolicy.SharedCounts shared ->
          loop.scheduleAtFixedRate(SHARE_OUTSTANDING_PERIOD_NANOS, this::shareOutstanding);
      default -> {}
    }
  }

  /** Returns the clock. */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Returns the request rate per second that fills every slot when there are no noisy neighbours.
   */
  public double capacityPerSecond() {
    return shape.capacityPerSecond();
  }

  /** Returns the record of request outcomes. */
  public FleetRecord record() {
    return record;
  }

  /** Returns the targets in the order of their addresses. */
  public List<SimulatedTarget> targets() {
    return List.copyOf(targets.values());
  }

  /** Returns the entries in the order of their names. */
  public List<SimulatedEntry> entries() {
    return entries;
  }

  /** Applies a configuration at every entry that is not partitioned, each after a random delay. */
  public void configure(Configuration next) {
    configuration = next;
    reachable()
        .forEach(
            each ->
                loop.schedule(
                    random.nextLong(MAX_APPLY_DELAY_NANOS),
                    () -> applyUnlessPartitioned(each, next)));
  }

  /** Partitions an entry from control replicas and other entries, so that its lease expires. */
  public void partition(int entry) {
    members.get(entry).setPartitioned(true);
    loop.schedule(DETECTION_NANOS, () -> issueView(List.of()));
  }

  /** Reconnects an entry and brings its configuration and warm-up states up to date. */
  public void reconnect(int entry) {
    FleetMember healed = members.get(entry);
    healed.setPartitioned(false);
    healed.applyConfiguration(configuration);
    reachable().flatMap(each -> each.warmup().all().stream()).forEach(healed::mergeWarmup);
    issueView(List.of());
  }

  /**
   * Returns whether an entry accepts requests: its lease is valid and its data centre is not taken
   * out.
   */
  public boolean acceptsRequests(int entry) {
    return members.get(entry).acceptsRequests();
  }

  /** Restarts a target's process; it accepts requests once its announcement has propagated. */
  public void restart(SimulatedTarget target) {
    target.stop();
    loop.schedule(
        RESTART_NANOS,
        () -> {
          target.restartCold();
          announce(target);
          loop.schedule(PROPAGATION_NANOS, target::acceptRequests);
        });
  }

  /** Sends a warm-up state that an entry has detected to the entries that it can reach. */
  void shareWarmup(FleetMember from, WarmupState state) {
    if (from.isPartitioned()) {
      return;
    }
    reachable()
        .filter(each -> each != from)
        .forEach(
            each ->
                loop.schedule(
                    oneWayNanos(from.identity().dataCentre(), each.identity().dataCentre()),
                    () -> mergeUnlessPartitioned(each, state)));
  }

  private static void applyUnlessPartitioned(FleetMember member, Configuration next) {
    if (!member.isPartitioned()) {
      member.applyConfiguration(next);
    }
  }

  private static void mergeUnlessPartitioned(FleetMember member, WarmupState state) {
    if (!member.isPartitioned()) {
      member.mergeWarmup(state);
    }
  }

  /**
   * Issues the next entry view with all reachable entries. It may be used exclusively once the
   * lease of every unreachable entry has expired.
   */
  private void issueView(List<FleetMember> excluded) {
    List<FleetMember> live = reachable().filter(each -> !excluded.contains(each)).toList();
    boolean allReachable = live.size() == members.size();
    view = new EntryView(view.number() + 1, live.stream().map(FleetMember::identity).toList());
    long exclusiveFromNanos =
        loop.now() + (allReachable ? PROPAGATION_NANOS : FleetMember.LEASE_NANOS);
    live.forEach(each -> each.applyView(view, exclusiveFromNanos));
  }

  private Stream<FleetMember> reachable() {
    return members.stream().filter(each -> !each.isPartitioned());
  }

  private static WarmupState warmState(SimulatedTarget target) {
    TargetAnnouncement announcement = target.announcement();
    return new WarmupState(announcement.target(), announcement.bootId(), 1, true, 0);
  }

  /** Returns the target with an address. */
  public SimulatedTarget target(TargetId target) {
    return targets.get(target);
  }

  /** Returns the one-way delay from one data centre to another, in nanoseconds. */
  public long oneWayNanos(DataCentreName from, DataCentreName to) {
    return from.equals(to) ? FleetShape.LOCAL_ONE_WAY_NANOS : FleetShape.REMOTE_ONE_WAY_NANOS;
  }

  /**
   * Generates requests with exponentially distributed gaps.
   *
   * @param load request rate as a fraction of {@link #capacityPerSecond}
   * @param skew how much more than the average the busiest entry receives, as a fraction of the
   *     average; 0 for an even distribution
   * @param untilNanos time at which the requests end
   */
  public void generateRequests(double load, double skew, long untilNanos) {
    double meanGapNanos = TimeUnit.SECONDS.toNanos(1) / (load * shape.capacityPerSecond());
    scheduleNextRequest(meanGapNanos, skew, untilNanos);
  }

  private void scheduleNextRequest(double meanGapNanos, double skew, long untilNanos) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
    if (loop.now() + gap >= untilNanos) {
      return;
    }
    loop.schedule(
        gap,
        () -> {
          sendRequest(drawEntryIndex(skew));
          scheduleNextRequest(meanGapNanos, skew, untilNanos);
        });
  }

  private void sendRequest(int entry) {
    if (acceptsRequests(entry)) {
      entries.get(entry).handleRequest(SERVICE, ACCOUNT, ROUTE);
    }
  }

  private int drawEntryIndex(double skew) {
    int size = entries.size();
    while (true) {
      int index = random.nextInt(size);
      double weight = 1 + skew * (2.0 * index / (size - 1) - 1);
      if (random.nextDouble() * (1 + skew) < weight) {
        return index;
      }
    }
  }

  /**
   * Lets one random entry probe one random target. With one probe in each period for the whole
   * fleet, the probe rate stays within its budget.
   */
  private void probeOneTarget() {
    SimulatedTarget target = targets().get(random.nextInt(targets.size()));
    EntryDispatcher prober = members.get(random.nextInt(members.size())).dispatcher();
    record.recordProbe(PROBE_COST_NANOS);
    loop.schedule(
        PROBE_COST_NANOS,
        () ->
            prober.recordProbe(
                loop.now(),
                SERVICE,
                target.announcement().target(),
                target.currentReport(),
                PROBE_COST_NANOS));
  }

  /** Sends every entry's outstanding request counts to the other entries. */
  private void shareOutstanding() {
    for (FleetMember from : members) {
      Map<TargetId, Integer> outstanding = from.dispatcher().outstanding(SERVICE);
      members.stream()
          .filter(each -> each != from)
          .forEach(
              each ->
                  loop.schedule(
                      oneWayNanos(from.identity().dataCentre(), each.identity().dataCentre()),
                      () ->
                          each.dispatcher()
                              .recordPeerOutstanding(
                                  SERVICE, from.identity().name(), outstanding)));
    }
  }

  private EntryView.Member member(int index) {
    return new EntryView.Member(
        new InstanceName("entry-%02d".formatted(index)),
        dataCentre(index),
        new Endpoint("127.0.0.1", FIRST_PORT));
  }

  private DataCentreName dataCentre(int index) {
    return new DataCentreName("dc-" + (1 + index % shape.dataCentres()));
  }

  private void addTarget(int index) {
    TargetId id = new TargetId("10.0.0." + (1 + index), FIRST_PORT);
    TargetAnnouncement announcement =
        new TargetAnnouncement(
            SERVICE,
            id,
            new VersionName("v1"),
            dataCentre(index),
            1,
            shape.slots(),
            shape.coldCapacity(),
            State.WARM,
            TIME_TO_LIVE_MS);
    targets.put(id, new SimulatedTarget(loop, random.split(), announcement, shape.quiet()));
  }

  private void addEntry(int index, ChoicePolicy policy, SimulatedEntry.Hedging hedging) {
    FleetMember member = new FleetMember(this, member(index), policy, random.nextLong());
    members.add(member);
    entries.add(new SimulatedEntry(loop, dataCentre(index), member.dispatcher(), this, hedging));
  }

  private void announceAll() {
    targets.values().stream()
        .filter(SimulatedTarget::isAcceptingConnections)
        .forEach(this::announce);
    members.forEach(each -> each.registry().expire(loop.now()));
  }

  private void announce(SimulatedTarget target) {
    members.forEach(each -> each.registry().announce(loop.now(), target.announcement()));
  }
}
