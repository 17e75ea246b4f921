package org.waxwingbeam.replica;

import java.io.IOException;
import java.util.List;

/**
 * The data folder of a replica, locked against other processes.
 *
 * <p>Written bytes are durable only after the file was synced. The creation, renaming or deletion
 * of a file is durable only after the folder was synced.
 *
 * @since 0.1.0
 */
public interface ReplicaFolder extends AutoCloseable {
  /** Returns the names of the files. */
  List<String> list() throws IOException;

  /** Opens a file for reading. */
  ReadFile openForRead(String name) throws IOException;

  /** Opens a file for appending; creates it if it does not exist. */
  AppendFile openForAppend(String name) throws IOException;

  /** Truncates a file to a length in bytes. */
  void truncate(String name, long length) throws IOException;

  /** Renames a file; replaces an existing file with the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Makes the creation, renaming and deletion of files durable. */
  void sync() throws IOException;

  @Override
  void close() throws IOException;

  /** A file that is open for reading. */
  interface ReadFile extends AutoCloseable {
    /** Returns the length of the file in bytes. */
    long size() throws IOException;

    /**
     * Reads bytes from a position on.
     *
     * @param position offset of the first byte
     * @param length number of bytes to read
     * @return the bytes; fewer than {@code length} only at the end of the file
     */
    byte[] read(long position, int length) throws IOException;

    @Override
    void close() throws IOException;
  }

  /** A file that is open for appending. */
  interface AppendFile extends AutoCloseable {
    /** Writes bytes at the end of the file. */
    void write(byte[] bytes) throws IOException;

    /** Truncates the file to a length in bytes; the next write appends there. */
    void truncate(long length) throws IOException;

    /** Makes all bytes written so far durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
