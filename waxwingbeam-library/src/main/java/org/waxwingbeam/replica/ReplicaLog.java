package org.waxwingbeam.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.waxwingbeam.wire.replica.AppendRequest;
import org.waxwingbeam.wire.replica.LogEntry;
import org.waxwingbeam.wire.replica.LogSnapshot;
import org.waxwingbeam.wire.replica.Membership;

/** Holds the newest entries of the log in memory, and the memberships that they contain. */
final class ReplicaLog {
  /** Returned as the term of an index that the log does not hold. */
  static final long NO_TERM = -1;

  private final List<Held> entries = new ArrayList<>();
  private final TreeMap<Long, Membership> memberships = new TreeMap<>();
  private long baseIndex;
  private long baseTerm;
  private long baseEndBytes;
  private long syncedIndex;

  /**
   * An entry in memory.
   *
   * @param endBytes encoded size of all entries up to this one since the log was last reset
   */
  private record Held(LogEntry entry, long endBytes) {}

  /** Discards all entries and starts from a snapshot. */
  void reset(LogSnapshot snapshot) {
    entries.clear();
    memberships.clear();
    baseIndex = snapshot.getIndex();
    baseTerm = snapshot.getTerm();
    baseEndBytes = 0;
    memberships.put(baseIndex, snapshot.getMembership());
    syncedIndex = 0;
  }

  /** Records that the whole log is durable. */
  void markSynced() {
    syncedIndex = lastIndex();
  }

  /** Returns the index up to which the present entries are durable. */
  long syncedIndex() {
    return syncedIndex;
  }

  /** Appends an entry, whose index must be the next one. */
  void append(LogEntry entry) {
    if (entry.getIndex() != lastIndex() + 1) {
      throw new IllegalArgumentException(
          "log entry with index %d: expected index %d"
              .formatted(entry.getIndex(), lastIndex() + 1));
    }
    entries.add(new Held(entry, endBytes(lastIndex()) + entry.getSerializedSize()));
    if (entry.getCommand().hasMembership()) {
      memberships.put(entry.getIndex(), entry.getCommand().getMembership());
    }
  }

  /**
   * Appends an entry, which replaces those of the same and higher indexes. An entry that the
   * snapshot contains is passed over.
   */
  void replace(LogEntry entry) {
    if (entry.getIndex() <= baseIndex) {
      return;
    }
    if (entry.getIndex() <= lastIndex()) {
      truncate(entry.getIndex());
    }
    append(entry);
  }

  private void truncate(long fromIndex) {
    entries.subList((int) (fromIndex - baseIndex - 1), entries.size()).clear();
    memberships.tailMap(fromIndex, true).clear();
    syncedIndex = Math.min(syncedIndex, fromIndex - 1);
  }

  /**
   * Checks whether this log holds the entry that precedes the entries of a request.
   *
   * @param commitIndex the last index that is known to be committed
   * @return empty if it does, else the index from which the leader should send entries next
   */
  Optional<Long> mismatch(AppendRequest request, long commitIndex) {
    long previous = request.getPreviousIndex();
    if (previous < baseIndex || termAt(previous) == request.getPreviousTerm()) {
      return Optional.empty();
    }
    if (previous > lastIndex()) {
      return Optional.of(lastIndex() + 1);
    }
    long conflictTerm = termAt(previous);
    long first = previous;
    while (first - 1 > commitIndex && termAt(first - 1) == conflictTerm) {
      first--;
    }
    return Optional.of(first);
  }

  /**
   * Stores an entry of the leader. A different entry at its index is removed together with all
   * entries after it.
   *
   * @param commitIndex the last index that is known to be committed
   * @throws IllegalStateException if a committed entry would be removed
   */
  void store(LogEntry entry, long commitIndex) {
    long index = entry.getIndex();
    if (index <= baseIndex || termAt(index) == entry.getTerm()) {
      return;
    }
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "log entry with index %d is committed and differs from the leader's entry"
              .formatted(index));
    }
    if (index <= lastIndex()) {
      truncate(index);
    }
    append(entry);
  }

  /** Removes the entries up to an index, which must be committed, from memory. */
  void discard(long toIndex) {
    if (toIndex <= baseIndex) {
      return;
    }
    final long term = termAt(toIndex);
    final long endBytes = endBytes(toIndex);
    Membership membership = membershipAt(toIndex);
    entries.subList(0, (int) (toIndex - baseIndex)).clear();
    memberships.headMap(toIndex, true).clear();
    memberships.put(toIndex, membership);
    baseIndex = toIndex;
    baseTerm = term;
    baseEndBytes = endBytes;
  }

  /**
   * Removes entries up to an index from memory, but for the newest ones of these that are within
   * both limits.
   *
   * @param toIndex the index, which must be committed
   * @param maxEntries number of entries before it that may stay
   * @param maxBytes encoded size of the entries before it that may stay
   */
  void discardAllBut(long toIndex, int maxEntries, long maxBytes) {
    long first = Math.max(baseIndex, toIndex - maxEntries);
    while (first < toIndex && bytesAfter(first) - bytesAfter(toIndex) > maxBytes) {
      first++;
    }
    discard(first);
  }

  private long endBytes(long index) {
    return index == baseIndex
        ? baseEndBytes
        : entries.get((int) (index - baseIndex - 1)).endBytes();
  }

  /** Returns the encoded size of the entries in memory that follow an index. */
  long bytesAfter(long index) {
    return endBytes(lastIndex()) - endBytes(Math.max(index, baseIndex));
  }

  /** Returns the index before the first entry that is held in memory. */
  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return termAt(lastIndex());
  }

  /** Returns the term of the entry at an index, or {@link #NO_TERM}. */
  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    boolean held = index > baseIndex && index <= lastIndex();
    return held ? get(index).getTerm() : NO_TERM;
  }

  /** Returns the entry at an index that the log holds. */
  LogEntry get(long index) {
    return entries.get((int) (index - baseIndex - 1)).entry();
  }

  /**
   * Returns the entries from an index on, limited by count and by size but at least one if there is
   * any.
   */
  List<LogEntry> slice(long fromIndex, int maxEntries, int maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    int bytes = 0;
    for (long index = fromIndex; index <= lastIndex() && slice.size() < maxEntries; index++) {
      LogEntry entry = get(index);
      bytes += entry.getSerializedSize();
      if (bytes > maxBytes && !slice.isEmpty()) {
        break;
      }
      slice.add(entry);
    }
    return slice;
  }

  /** Returns the newest membership, whether it is committed or not. */
  Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /** Returns whether any membership that the log contains names a replica as a voter. */
  boolean namesVoter(String id) {
    return memberships.values().stream().anyMatch(each -> Memberships.isVoter(each, id));
  }

  /** Returns the index of the entry that contains the newest membership. */
  long membershipIndex() {
    return memberships.lastKey();
  }

  /** Returns the membership that applies after the entry at an index. */
  Membership membershipAt(long index) {
    return memberships.floorEntry(index).getValue();
  }
}
