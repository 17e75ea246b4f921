package org.waxwingbeam.peer;

import com.google.protobuf.ByteString;

/**
 * Versioned record that entry instances share and that is not stored on disk.
 *
 * @param kind the kind of the record
 * @param key identifies the record within its kind
 * @param bootId boot id of the subject of the record; a higher one replaces a lower one
 * @param generation number of the change under this boot id; a higher one replaces a lower one
 * @param value the content, encoded as its kind defines
 * @param timeToLiveMs remaining time for which the record is kept, in milliseconds
 * @since 0.1.0
 */
public record SoftRecord(
    Kind kind, String key, long bootId, long generation, ByteString value, long timeToLiveMs) {

  /** Returns whether this record replaces another one with the same key. */
  boolean supersedes(SoftRecord other) {
    return bootId != other.bootId ? bootId > other.bootId : generation > other.generation;
  }

  /** Kind of a record. */
  public enum Kind {
    /** Whether a target has completed its cold start. */
    WARMTH,
    /** A version that is suspected to be bad. */
    VERSION_SUSPICION,
    /** A request that crashes targets. */
    POISON_REQUEST,
    /** The announcement of a target. */
    ANNOUNCEMENT,
    /** The presence of a running entry instance. */
    PRESENCE
  }
}
