package org.waxwingbeam.tools.fakes;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.waxwingbeam.control.EntryView;
import org.waxwingbeam.control.LeasedEntryView;
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
import org.waxwingbeam.target.DispatchSettings;
import org.waxwingbeam.target.EntryDispatcher;
import org.waxwingbeam.target.TargetAnnouncement;
import org.waxwingbeam.target.TargetAnnouncement.State;
import org.waxwingbeam.target.TargetRegistry;
import org.waxwingbeam.target.version.VersionSelector;

/**
 * A fleet of entries with real dispatchers in front of fake targets of one service, on a manual
 * clock.
 *
 * <pre>{@code
 * FakeFleet fleet = new FakeFleet(FleetShape.LISTING, policy, Hedging.NONE, seed);
 * fleet.offer(0.7, 0, TimeUnit.SECONDS.toNanos(5));
 * fleet.loop().runUntil(TimeUnit.SECONDS.toNanos(5));
 * }</pre>
 *
 * @since 0.1.0
 */
public final class FakeFleet {
  /** The one service. */
  public static final ServiceName SERVICE = new ServiceName("listing");

  private static final AccountName ACCOUNT = new AccountName("alpha");
  private static final RouteName ROUTE = new RouteName("list");
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long TIME_TO_LIVE_MS = 3_000;
  private static final long PROBE_COST_NANOS = TimeUnit.MILLISECONDS.toNanos(6);
  private static final long PROBE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SHARE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
  private static final int FIRST_PORT = 9_000;

  private final EventLoop loop = new EventLoop();
  private final FleetShape shape;
  private final SplittableRandom random;
  private final Map<TargetId, FakeTarget> targets = new LinkedHashMap<>();
  private final List<FakeEntry> entries = new ArrayList<>();
  private final List<EntryDispatcher> dispatchers = new ArrayList<>();
  private final List<TargetRegistry> registries = new ArrayList<>();
  private final FleetRecord record = new FleetRecord();
  private final EntryView view;
  private Configuration configuration = Configuration.EMPTY;

  /**
   * Creates a fleet whose targets have announced themselves everywhere.
   *
   * @param shape its size
   * @param policy how the entries choose targets
   * @param hedging when requests are sent a second time
   * @param seed decides everything that is random
   */
  public FakeFleet(FleetShape shape, ChoicePolicy policy, FakeEntry.Hedging hedging, long seed) {
    this.shape = shape;
    this.random = new SplittableRandom(seed);
    this.view =
        new EntryView(1, IntStream.range(0, shape.entries()).mapToObj(this::member).toList());
    IntStream.range(0, shape.targets()).forEach(this::addTarget);
    view.members().forEach(member -> addEntry(member, policy, hedging));
    loop.every(TimeUnit.MILLISECONDS.toNanos(TIME_TO_LIVE_MS / 3), this::announceAll);
    loop.every(TICK_NANOS, () -> entries.forEach(FakeEntry::tick));
    switch (policy) {
      case ChoicePolicy.ProbedPool probed -> loop.every(PROBE_PERIOD_NANOS, this::probe);
      case ChoicePolicy.SharedCounts shared -> loop.every(SHARE_PERIOD_NANOS, this::share);
      default -> {}
    }
  }

  /** Returns the clock. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns what callers have seen. */
  public FleetRecord record() {
    return record;
  }

  /** Returns the targets in the order of their addresses. */
  public List<FakeTarget> targets() {
    return List.copyOf(targets.values());
  }

  /** Returns the entries in the order of their names. */
  public List<FakeEntry> entries() {
    return entries;
  }

  /** Returns the entries' dispatchers in the order of the entries' names. */
  public List<EntryDispatcher> dispatchers() {
    return dispatchers;
  }

  /** Returns the live entries. */
  public EntryView view() {
    return view;
  }

  /** Puts a configuration in force everywhere. */
  public void configure(Configuration next) {
    configuration = next;
  }

  /** Returns the target with an address. */
  public FakeTarget target(TargetId target) {
    return targets.get(target);
  }

  /** Returns the time from one data centre to another, in nanoseconds. */
  public long oneWayNanos(DataCentreName from, DataCentreName to) {
    return from.equals(to) ? FleetShape.LOCAL_ONE_WAY_NANOS : FleetShape.REMOTE_ONE_WAY_NANOS;
  }

  /**
   * Offers requests at random times until a time.
   *
   * @param load part of the capacity of warm targets on quiet machines
   * @param unevenness how much more than the average the most used entry receives, 0 for even
   * @param untilNanos when the requests end
   */
  public void offer(double load, double unevenness, long untilNanos) {
    double meanGapNanos = TimeUnit.SECONDS.toNanos(1) / (load * shape.capacityPerSecond());
    arriveAfterGap(meanGapNanos, unevenness, untilNanos);
  }

  private void arriveAfterGap(double meanGapNanos, double unevenness, long untilNanos) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
    if (loop.now() + gap >= untilNanos) {
      return;
    }
    loop.after(
        gap,
        () -> {
          entries.get(entryIndex(unevenness)).arrive(SERVICE, ACCOUNT, ROUTE);
          arriveAfterGap(meanGapNanos, unevenness, untilNanos);
        });
  }

  private int entryIndex(double unevenness) {
    int size = entries.size();
    while (true) {
      int index = random.nextInt(size);
      double weight = 1 + unevenness * (2.0 * index / (size - 1) - 1);
      if (random.nextDouble() * (1 + unevenness) < weight) {
        return index;
      }
    }
  }

  /** Lets one entry probe one target, so that the probes of the whole fleet keep the budget. */
  private void probe() {
    FakeTarget target = targets().get(random.nextInt(targets.size()));
    EntryDispatcher prober = dispatchers.get(random.nextInt(dispatchers.size()));
    record.noteProbe(PROBE_COST_NANOS);
    loop.after(
        PROBE_COST_NANOS,
        () ->
            prober.noteProbe(
                loop.now(),
                SERVICE,
                target.announcement().target(),
                target.currentReport(),
                PROBE_COST_NANOS));
  }

  /** Lets every entry tell the others how many requests it has under way. */
  private void share() {
    for (int from = 0; from < dispatchers.size(); from++) {
      Map<TargetId, Integer> outstanding = dispatchers.get(from).outstanding(SERVICE);
      InstanceName sender = view.members().get(from).name();
      for (int to = 0; to < dispatchers.size(); to++) {
        EntryDispatcher receiver = dispatchers.get(to);
        if (to != from) {
          loop.after(
              oneWayNanos(dataCentre(from), dataCentre(to)),
              () -> receiver.noteOutstanding(SERVICE, sender, outstanding));
        }
      }
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
    targets.put(id, new FakeTarget(loop, random.split(), announcement, shape.quiet()));
  }

  private void addEntry(EntryView.Member member, ChoicePolicy policy, FakeEntry.Hedging hedging) {
    TargetRegistry registry = new TargetRegistry();
    EntryDispatcher dispatcher =
        new EntryDispatcher(
            new DispatchSettings(member.name(), member.dataCentre(), policy, random.nextLong()),
            registry,
            () -> configuration,
            () -> new LeasedEntryView(view, 0, Long.MAX_VALUE / 2),
            VersionSelector.ANY);
    registries.add(registry);
    dispatchers.add(dispatcher);
    entries.add(new FakeEntry(loop, member.dataCentre(), dispatcher, this, hedging));
  }

  private void announceAll() {
    for (TargetRegistry registry : registries) {
      targets.values().stream()
          .filter(FakeTarget::isUp)
          .forEach(target -> registry.announce(loop.now(), target.announcement()));
      registry.expire(loop.now());
    }
  }
}
