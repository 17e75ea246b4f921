package org.waxwingbeam.tools.testing.replica;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.waxwingbeam.replica.ReplicaFolder;

/**
 * An in-memory replica folder that loses unsynced changes at a crash.
 *
 * <p>Of the unsynced bytes of a file, a random prefix survives, of which one byte may be corrupted.
 * Of the files created, renamed and deleted since the folder was last synced, a random prefix of
 * these operations survives.
 *
 * @since 0.1.0
 */
public final class SimulatedFolder implements ReplicaFolder {
  private final DiskFaults faults;
  private Map<String, Content> files = new TreeMap<>();
  private Map<String, Content> syncedFiles = new TreeMap<>();
  private final List<Consumer<Map<String, Content>>> unsyncedOperations = new ArrayList<>();

  /** Decides before each operation whether the process crashes or the disk fails. */
  public interface DiskFaults {
    /** Lets every operation succeed. */
    DiskFaults NONE = () -> {};

    /**
     * Called before an operation changes anything.
     *
     * @throws SimulatedCrashException if the process is to crash here
     * @throws IOException if the disk is to fail
     */
    void beforeOperation() throws IOException;
  }

  /** Thrown instead of an operation to simulate a crash of the process. */
  public static final class SimulatedCrashException extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  private static final class Content {
    private byte[] syncedBytes = {};
    private ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();

    byte[] bytes() {
      return writtenBytes.toByteArray();
    }

    void setBytes(byte[] bytes) {
      writtenBytes = new ByteArrayOutputStream();
      writtenBytes.writeBytes(bytes);
    }

    void crash(RandomGenerator random) {
      byte[] written = bytes();
      int unsyncedBytes = Math.max(0, written.length - syncedBytes.length);
      int survivingCount = unsyncedBytes == 0 ? 0 : random.nextInt(unsyncedBytes + 1);
      ByteArrayOutputStream surviving = new ByteArrayOutputStream();
      surviving.writeBytes(syncedBytes);
      surviving.write(written, syncedBytes.length, survivingCount);
      byte[] bytes = surviving.toByteArray();
      if (survivingCount > 0 && random.nextBoolean()) {
        bytes[bytes.length - 1 - random.nextInt(survivingCount)] ^= 0x55;
      }
      syncedBytes = bytes;
      setBytes(bytes);
    }
  }

  /**
   * Creates an empty folder.
   *
   * @param faults decides whether an operation crashes or fails
   */
  public SimulatedFolder(DiskFaults faults) {
    this.faults = faults;
  }

  /** Discards unsynced changes, as a power loss does. */
  public void crash(RandomGenerator random) {
    int survivingCount = random.nextInt(unsyncedOperations.size() + 1);
    unsyncedOperations
        .subList(0, survivingCount)
        .forEach(operation -> operation.accept(syncedFiles));
    unsyncedOperations.clear();
    files = new TreeMap<>(syncedFiles);
    files.values().forEach(content -> content.crash(random));
  }

  /** Returns the total size of the synced contents of all files, in bytes. */
  public long syncedSize() {
    return files.values().stream().mapToLong(content -> content.syncedBytes.length).sum();
  }

  /** Inverts the bits of one byte of a file. */
  public void corruptByte(String name, int offset) {
    Content content = files.get(name);
    byte[] bytes = content.bytes();
    bytes[offset] ^= (byte) 0xFF;
    content.syncedBytes = bytes;
    content.setBytes(bytes);
  }

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public ReadFile openForRead(String name) throws IOException {
    return new SimulatedReadFile(content(name).bytes());
  }

  private Content content(String name) throws IOException {
    return Optional.ofNullable(files.get(name))
        .orElseThrow(() -> new IOException("no file " + name));
  }

  private void applyUnsynced(Consumer<Map<String, Content>> operation) throws IOException {
    faults.beforeOperation();
    operation.accept(files);
    unsyncedOperations.add(operation);
  }

  @Override
  public AppendFile openForAppend(String name) throws IOException {
    if (!files.containsKey(name)) {
      Content created = new Content();
      applyUnsynced(map -> map.put(name, created));
    }
    return new SimulatedFile(content(name));
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    faults.beforeOperation();
    Content content = content(name);
    byte[] truncated = Arrays.copyOf(content.bytes(), (int) length);
    content.setBytes(truncated);
    content.syncedBytes = truncated;
  }

  @Override
  public void rename(String from, String to) throws IOException {
    applyUnsynced(
        map -> {
          Content moved = map.remove(from);
          if (moved != null) {
            map.put(to, moved);
          }
        });
  }

  @Override
  public void delete(String name) throws IOException {
    applyUnsynced(map -> map.remove(name));
  }

  @Override
  public void sync() throws IOException {
    faults.beforeOperation();
    syncedFiles = new TreeMap<>(files);
    unsyncedOperations.clear();
  }

  @Override
  public void close() {}

  private static final class SimulatedReadFile implements ReadFile {
    private final byte[] bytes;

    SimulatedReadFile(byte[] bytes) {
      this.bytes = bytes;
    }

    @Override
    public long size() {
      return bytes.length;
    }

    @Override
    public byte[] read(long position, int length) {
      int from = (int) Math.min(position, bytes.length);
      return Arrays.copyOfRange(bytes, from, Math.min(from + length, bytes.length));
    }

    @Override
    public void close() {}
  }

  private final class SimulatedFile implements AppendFile {
    private final Content content;

    SimulatedFile(Content content) {
      this.content = content;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      try {
        faults.beforeOperation();
      } catch (IOException failure) {
        // A write to a full disk stores as much as there is room for.
        content.writtenBytes.write(bytes, 0, bytes.length / 2);
        throw failure;
      }
      content.writtenBytes.writeBytes(bytes);
    }

    @Override
    public void truncate(long length) throws IOException {
      faults.beforeOperation();
      content.setBytes(Arrays.copyOf(content.bytes(), (int) length));
    }

    @Override
    public void sync() throws IOException {
      faults.beforeOperation();
      content.syncedBytes = content.bytes();
    }

    @Override
    public void close() {}
  }
}
