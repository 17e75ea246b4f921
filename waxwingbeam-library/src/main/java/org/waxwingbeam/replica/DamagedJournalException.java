package org.waxwingbeam.replica;

import java.io.IOException;

/**
 * Thrown for a journal file that is damaged or of another format; the replica must not start from
 * it.
 *
 * @since 0.1.0
 */
public final class DamagedJournalException extends IOException {
  private static final long serialVersionUID = 1L;

  private final String file;
  private final long offset;

  DamagedJournalException(String file, long offset, String reason) {
    super(
        "file %s, offset %d: %s; replace this replica by one with an empty data folder"
            .formatted(file, offset, reason));
    this.file = file;
    this.offset = offset;
  }

  /** Returns the name of the file. */
  public String file() {
    return file;
  }

  /** Returns the offset in the file at which the damage begins, in bytes. */
  public long offset() {
    return offset;
  }
}
