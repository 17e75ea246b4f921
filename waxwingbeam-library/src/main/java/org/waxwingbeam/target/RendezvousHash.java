package org.waxwingbeam.target;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.waxwingbeam.model.InstanceName;
import org.waxwingbeam.model.TargetId;

/** Ranks entry instances for a target by rendezvous hashing (highest random weight). */
final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /** Returns the weight of an entry instance for a target. */
  static long weight(TargetId target, InstanceName entry) {
    return mix(add(add(FNV_OFFSET, target.host()) * 31 + target.port(), entry.value()));
  }

  /** Returns the entry instance with the highest weight, or empty if there is none. */
  static Optional<InstanceName> first(TargetId target, List<InstanceName> entries) {
    return entries.stream().max(Comparator.comparingLong(entry -> weight(target, entry)));
  }

  private static long add(long hash, String text) {
    long sum = hash;
    for (int index = 0; index < text.length(); index++) {
      sum = (sum ^ text.charAt(index)) * FNV_PRIME;
    }
    return sum;
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
