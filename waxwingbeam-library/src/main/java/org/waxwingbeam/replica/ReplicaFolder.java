package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.List;

/**
 * The data folder of a replica, locked against other processes.
 *
 * <p>What was written lasts only once the file was synced; that a file was created, renamed or
 * deleted lasts only once the folder was synced.
 *
 * @since 0.1.0
 */
public interface ReplicaFolder extends AutoCloseable {
  /** Returns the names of the files. */
  List<String> list() throws IOException;

  /** Reads a whole file. */
  byte[] read(String name) throws IOException;

  /** Opens a file to write at its end; creates it if there is none. */
  AppendFile openForAppend(String name) throws IOException;

  /** Cuts a file to a length in bytes. */
  void truncate(String name, long length) throws IOException;

  /** Gives a file another name, and replaces a file that has it. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Makes created, renamed and deleted files durable. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;

  /** A file that is written at its end. */
  interface AppendFile extends AutoCloseable {
    /** Writes bytes at the end of the file. */
    void write(byte[] bytes) throws IOException;

    /** Makes everything that was written durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
