package org.waxwingbeam.tools.testing.replica;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** A fault of one machine of the core. Times are in milliseconds. */
sealed interface CoreFault {
  /** The process is killed and started again. */
  record Kill(long downMs) implements CoreFault {}

  /** The process is killed at one of its next disk operations, if there are any in time. */
  record KillAtDiskOperation(int operations, long timeoutMs) implements CoreFault {}

  /** The machine loses its power, and what was not synced. */
  record PowerLoss(long downMs) implements CoreFault {}

  /** The process is asked to end, and started again. */
  record Restart(long downMs) implements CoreFault {}

  /** The machine starts again with an empty disk. */
  record DiskLoss(long downMs) implements CoreFault {}

  /** The machine is gone for good; another one starts at a new address. */
  record MachineLoss(long successorMs) implements CoreFault {}

  /** Another machine starts at a new address; later, this one is asked to end for good. */
  record Replacement(long leaveMs) implements CoreFault {}

  /** The process stands still. */
  record Freeze(long durationMs) implements CoreFault {}

  /** The disk refuses writes. */
  record FullDisk(long durationMs) implements CoreFault {}

  /** Each disk operation takes some time. */
  record SlowDisk(long durationMs, long operationMs) implements CoreFault {}

  /** The machine can't reach the others, can't be reached by them, or both. */
  record Isolation(long durationMs, Direction direction) implements CoreFault {}

  /** The machine and one other can't reach one another, in one direction or both. */
  record Cut(long durationMs, Direction direction) implements CoreFault {}

  /** The direction of the messages that are held back. */
  enum Direction {
    OUT,
    IN,
    BOTH
  }

  /** The time that the process needs at most to end on request. */
  long LEAVE_MS = 2_500;

  /** Returns a random fault. */
  static CoreFault random(RandomGenerator random) {
    long shortMs = random.nextInt(3_000);
    long longMs = random.nextInt(8_000);
    Direction direction = Direction.values()[random.nextInt(3)];
    return switch (random.nextInt(13)) {
      case 0 -> new Kill(shortMs);
      case 1 -> new KillAtDiskOperation(1 + random.nextInt(12), 2_000);
      case 2 -> new PowerLoss(shortMs);
      case 3 -> new Restart(shortMs);
      case 4, 5 -> new DiskLoss(shortMs);
      case 6 -> new MachineLoss(shortMs);
      case 7 -> new Replacement(4_000 + shortMs);
      case 8 -> new Freeze(longMs);
      case 9 -> new FullDisk(longMs);
      case 10 -> new SlowDisk(longMs, 5 + random.nextInt(200));
      case 11 -> new Isolation(longMs, direction);
      default -> new Cut(longMs, direction);
    };
  }

  /** Returns how long the machine or its successor is away from now on, or empty if not at all. */
  default Optional<Long> awayMs() {
    return switch (this) {
      case Kill(long downMs) -> Optional.of(downMs);
      case KillAtDiskOperation(int operations, long timeoutMs) -> Optional.of(timeoutMs + 1_000);
      case PowerLoss(long downMs) -> Optional.of(downMs);
      case Restart(long downMs) -> Optional.of(LEAVE_MS + downMs);
      case DiskLoss(long downMs) -> Optional.of(downMs);
      case MachineLoss(long successorMs) -> Optional.of(successorMs);
      case Replacement(long leaveMs) -> Optional.empty();
      case Freeze(long durationMs) -> Optional.of(durationMs);
      case FullDisk(long durationMs) -> Optional.of(durationMs);
      case SlowDisk(long durationMs, long operationMs) -> Optional.of(durationMs);
      case Isolation(long durationMs, Direction direction) -> Optional.of(durationMs);
      case Cut(long durationMs, Direction direction) -> Optional.of(durationMs);
    };
  }

  /** Returns whether the contents of the machine's disk are lost, now or later. */
  default boolean losesDisk() {
    return this instanceof DiskLoss || this instanceof MachineLoss || this instanceof Replacement;
  }
}
