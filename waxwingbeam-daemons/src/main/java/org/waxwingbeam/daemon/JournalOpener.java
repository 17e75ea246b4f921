package org.waxwingbeam.daemon;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.function.Supplier;
import org.waxwingbeam.logging.EventLog;
import org.waxwingbeam.replica.DiskFolder;
import org.waxwingbeam.replica.Journal;

/**
 * Opens the journal of a control replica.
 *
 * @since 0.1.0
 */
public final class JournalOpener {
  private static final EventLog LOG = new EventLog(JournalOpener.class);

  /** Time after which a journal is opened again whose disk had no room. */
  private static final long RETRY_MS = 200;

  private JournalOpener() {}

  /**
   * Opens a journal. Waits for as long as its disk has no room.
   *
   * @param folder the data folder, which is created if it does not exist
   * @param newId generates a replica id
   * @throws IOException if the folder cannot be used for another reason, or the journal is damaged
   */
  public static Journal open(Path folder, Supplier<String> newId) throws IOException {
    boolean logged = false;
    while (true) {
      try {
        return openNow(folder, newId);
      } catch (IOException failed) {
        if (!DiskFolder.isOutOfSpace(failed)) {
          throw failed;
        }
        if (!logged) {
          LOG.error("journal-unavailable", "folder", folder, "reason", failed);
        }
        logged = true;
        pause();
      }
    }
  }

  private static Journal openNow(Path folder, Supplier<String> newId) throws IOException {
    DiskFolder opened = DiskFolder.open(folder);
    try {
      return Journal.open(opened, newId);
    } catch (IOException failed) {
      opened.close();
      throw failed;
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(RETRY_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while the disk had no room");
    }
  }
}
