package org.waxwingbeam.caller;

import java.util.Set;
import org.waxwingbeam.model.TargetId;

/**
 * The targets that went down while they ran requests with one fingerprint. Entry instances exchange
 * these records.
 *
 * @param fingerprint digest of client account, method, path and body, as hexadecimal text
 * @param pathDigest digest of client account, method and path alone, as hexadecimal text
 * @param targets the targets that went down, one after another
 * @param ageMs time since the last of these losses, in milliseconds
 * @param retentionMs how long a poison request is refused, in milliseconds
 * @since 0.1.0
 */
public record CrashRecord(
    String fingerprint, String pathDigest, Set<TargetId> targets, long ageMs, long retentionMs) {
  /** Copies the set of targets. */
  public CrashRecord {
    targets = Set.copyOf(targets);
  }
}
