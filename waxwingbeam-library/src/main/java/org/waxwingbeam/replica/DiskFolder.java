package org.waxwingbeam.replica;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Stores a replica's files in a folder of the file system.
 *
 * @since 0.1.0
 */
public final class DiskFolder implements ReplicaFolder {
  private static final String LOCK_NAME = "lock";

  /** The operating system's texts; Java does not tell the error number. */
  private static final List<String> OUT_OF_SPACE =
      List.of("No space left on device", "Disk quota exceeded", "File too large");

  private final Path folder;
  private final FileChannel lockChannel;

  private DiskFolder(Path folder, FileChannel lockChannel) {
    this.folder = folder;
    this.lockChannel = lockChannel;
  }

  /**
   * Opens and locks a folder; creates it if it does not exist.
   *
   * @throws IOException if another process holds the lock or the folder cannot be written
   */
  public static DiskFolder open(Path folder) throws IOException {
    Files.createDirectories(folder);
    Path lock = folder.resolve(LOCK_NAME);
    FileChannel channel =
        FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    if (tryLock(channel).isEmpty()) {
      channel.close();
      throw new IOException(
          "data folder %s: expected no other process to use it; it holds %s"
              .formatted(folder, lock.getFileName()));
    }
    return new DiskFolder(folder, channel);
  }

  private static Optional<FileLock> tryLock(FileChannel channel) throws IOException {
    try {
      return Optional.ofNullable(channel.tryLock());
    } catch (OverlappingFileLockException heldInThisProcess) {
      return Optional.empty();
    }
  }

  /** Returns whether an operation has failed because the disk or a quota has no room left. */
  public static boolean isOutOfSpace(IOException failure) {
    String message = String.valueOf(failure.getMessage());
    return OUT_OF_SPACE.stream().anyMatch(message::contains);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(path -> path.getFileName().toString())
          .filter(name -> !name.equals(LOCK_NAME))
          .sorted()
          .toList();
    }
  }

  @Override
  public ReadFile openForRead(String name) throws IOException {
    return new DiskReadFile(FileChannel.open(folder.resolve(name), StandardOpenOption.READ));
  }

  @Override
  public AppendFile openForAppend(String name) throws IOException {
    return new DiskFile(
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(length);
      channel.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.delete(folder.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lockChannel.close();
  }

  private record DiskReadFile(FileChannel channel) implements ReadFile {
    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public byte[] read(long position, int length) throws IOException {
      ByteBuffer buffer =
          ByteBuffer.allocate((int) Math.max(0, Math.min(length, size() - position)));
      int read = 0;
      while (buffer.hasRemaining() && read >= 0) {
        read = channel.read(buffer, position + buffer.position());
      }
      return Arrays.copyOf(buffer.array(), buffer.position());
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private record DiskFile(FileChannel channel) implements AppendFile {
    @Override
    public void write(byte[] bytes) throws IOException {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
    }

    @Override
    public void truncate(long length) throws IOException {
      channel.truncate(length);
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
