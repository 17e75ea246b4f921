package org.waxwingbeam.peer;

import com.google.protobuf.ByteString;

/**
 * One versioned record that entry instances share and that is not kept on disk.
 *
 * @param kind what the record is about
 * @param key identifies the record within its kind
 * @param bootId the start of what it is about; a higher one replaces a lower one
 * @param generation counts the changes within one start
 * @param value the content, in the form that its kind defines
 * @param timeToLiveMs how much longer the record is kept, in milliseconds
 * @since 0.1.0
 */
public record SoftRecord(
    Kind kind, String key, long bootId, long generation, ByteString value, long timeToLiveMs) {

  /** Returns whether this record replaces another one of the same key. */
  boolean supersedes(SoftRecord other) {
    return bootId != other.bootId ? bootId > other.bootId : generation > other.generation;
  }

  /** Lists what records are about. */
  public enum Kind {
    /** Whether a target is past its cold start. */
    WARMTH,
    /** A version that looks bad. */
    VERSION_SUSPICION,
    /** A request that crashes targets. */
    POISON_REQUEST,
    /** What a target says of itself. */
    ANNOUNCEMENT,
    /** An entry instance that is running. */
    PRESENCE
  }
}
