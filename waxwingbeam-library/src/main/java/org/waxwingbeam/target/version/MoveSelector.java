package org.waxwingbeam.target.version;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.waxwingbeam.model.AccountName;
import org.waxwingbeam.model.Configuration;
import org.waxwingbeam.model.RouteName;
import org.waxwingbeam.model.ServiceName;
import org.waxwingbeam.model.VersionMove;
import org.waxwingbeam.model.VersionMove.State;
import org.waxwingbeam.model.VersionName;

/**
 * Selects versions at one entry instance according to the configured version moves.
 *
 * <p>Thread-safe. The share of each service is counted under its own lock; it is held for one
 * count, and no other lock is acquired while it is held.
 *
 * <p>An entry instance whose lease has not been renewed for {@link #MAX_LEASE_AGE_MS} sends no new
 * requests to an unproven version, because it would not learn that the version was rolled back.
 *
 * @since 0.1.0
 */
public final class MoveSelector implements VersionSelector {
  /** Time since the last lease renewal after which an unproven version gets no requests, in ms. */
  public static final long MAX_LEASE_AGE_MS = 2_000;

  private static final int WHOLE_PER_MILLE = 1_000;

  private final Supplier<Configuration> configuration;
  private final double phase;
  private final ConcurrentMap<ServiceName, MoveShare> shares = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServiceName, StoppedMove> stoppedMoves = new ConcurrentHashMap<>();
  private final ConcurrentMap<ServiceName, CachedParameters> parameters = new ConcurrentHashMap<>();
  private volatile long leaseRenewedNanos;

  private record StoppedMove(long startMs, String reason) {}

  private record CachedParameters(long configurationNumber, MoveParameters parameters) {}

  /** The share counter of one move, guarded by its own lock. */
  private static final class MoveShare {
    private final long startMs;
    private final ShareCounter counter;

    MoveShare(long startMs, ShareCounter counter) {
      this.startMs = startMs;
      this.counter = counter;
    }

    synchronized boolean next(RouteName route, int sharePerMille, boolean unproven) {
      return counter.next(route, sharePerMille, unproven);
    }
  }

  /**
   * Creates a selector.
   *
   * @param configuration supplies the configuration that this entry instance applies
   * @param entryIndex index of this entry instance among all entry instances, from 0
   * @param entries number of entry instances, at least 1
   * @param nowNanos the entry's monotonic clock
   */
  public MoveSelector(
      Supplier<Configuration> configuration, int entryIndex, int entries, long nowNanos) {
    this.configuration = configuration;
    this.phase = (entryIndex % entries + 0.5) / entries;
    this.leaseRenewedNanos = nowNanos;
  }

  /** Records that the leader of the control replicas has renewed this entry instance's lease. */
  public void onLeaseRenewed(long nowNanos) {
    leaseRenewedNanos = nowNanos;
  }

  /**
   * Stops sending requests to the new version of a move, until another move starts.
   *
   * @param move the move
   * @param reason the reason, for operators
   * @return whether the move had not been stopped before
   */
  public boolean stop(VersionMove move, String reason) {
    StoppedMove previous = stoppedMoves.get(move.service());
    if (previous != null && previous.startMs() >= move.startMs()) {
      return false;
    }
    stoppedMoves.put(move.service(), new StoppedMove(move.startMs(), reason));
    return true;
  }

  /** Returns why this entry instance has stopped the new version of a move, or empty. */
  public Optional<String> stopReason(VersionMove move) {
    return Optional.ofNullable(stoppedMoves.get(move.service()))
        .filter(each -> each.startMs() == move.startMs())
        .map(StoppedMove::reason);
  }

  @Override
  public Optional<VersionName> select(
      long nowNanos,
      ServiceName service,
      AccountName account,
      RouteName route,
      boolean idempotent) {
    Configuration current = configuration.get();
    VersionMove move = current.moves().get(service);
    if (move == null) {
      return Optional.empty();
    }
    return Optional.of(
        mayUseNewVersion(nowNanos, move) && isInNewShare(current, move, account, route)
            ? move.to()
            : move.from());
  }

  @Override
  public Optional<VersionName> selectRetry(long nowNanos, ServiceName service) {
    VersionMove move = configuration.get().moves().get(service);
    if (move == null) {
      return Optional.empty();
    }
    boolean proven = move.state() == State.SOAKING || move.state() == State.FINISHED;
    return Optional.of(proven && mayUseNewVersion(nowNanos, move) ? move.to() : move.from());
  }

  @Override
  public boolean accepts(long nowNanos, ServiceName service, VersionName version) {
    VersionMove move = configuration.get().moves().get(service);
    if (move == null) {
      return true;
    }
    if (version.equals(move.to())) {
      return mayUseNewVersion(nowNanos, move);
    }
    return move.state() != State.FINISHED;
  }

  private boolean mayUseNewVersion(long nowNanos, VersionMove move) {
    boolean leaseRenewed =
        nowNanos - leaseRenewedNanos <= TimeUnit.MILLISECONDS.toNanos(MAX_LEASE_AGE_MS);
    return switch (move.state()) {
      case RUNNING -> leaseRenewed && stopReason(move).isEmpty();
      case SOAKING -> stopReason(move).isEmpty();
      case FINISHED -> true;
      case ROLLED_BACK -> false;
    };
  }

  private boolean isInNewShare(
      Configuration current, VersionMove move, AccountName account, RouteName route) {
    if (move.sharePerMille() >= WHOLE_PER_MILLE) {
      return true;
    }
    MoveParameters moveParameters = parameters(current, move.service());
    if (moveParameters.pinsAccounts()) {
      int bucket = Math.floorMod(hash(account, move), WHOLE_PER_MILLE);
      return bucket < move.sharePerMille();
    }
    boolean unproven = move.sharePerMille() <= moveParameters.unprovenPerMille();
    return share(move).next(route, move.sharePerMille(), unproven);
  }

  private MoveParameters parameters(Configuration current, ServiceName service) {
    CachedParameters known = parameters.get(service);
    if (known == null || known.configurationNumber() != current.number()) {
      known = new CachedParameters(current.number(), MoveParameters.of(current, service));
      parameters.put(service, known);
    }
    return known.parameters();
  }

  private MoveShare share(VersionMove move) {
    return shares.compute(
        move.service(),
        (service, old) ->
            old != null && old.startMs == move.startMs()
                ? old
                : new MoveShare(move.startMs(), new ShareCounter(phase)));
  }

  private static int hash(AccountName account, VersionMove move) {
    int hash = account.value().hashCode() * 31 + move.to().value().hashCode();
    hash ^= hash >>> 16;
    hash *= 0x85ebca6b;
    hash ^= hash >>> 13;
    hash *= 0xc2b2ae35;
    return hash ^ (hash >>> 16);
  }
}
