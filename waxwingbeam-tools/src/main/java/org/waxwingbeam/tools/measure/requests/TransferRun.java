package org.waxwingbeam.tools.measure.requests;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.waxwingbeam.model.Parameters;
import org.waxwingbeam.tools.testing.EntryFixture;
import org.waxwingbeam.tools.testing.HostileTarget;
import org.waxwingbeam.tools.testing.RawCaller;
import org.waxwingbeam.tools.testing.RotatingDispatcher;

/** Measures the throughput of one transfer. */
final class TransferRun implements AutoCloseable {
  private static final int BLOCK_BYTES = 1 << 16;
  private static final long TRANSFER_BYTES = 1L << 27;
  private static final double MIB = 1 << 20;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final String REQUEST =
      "GET /transfers/x HTTP/1.1\r\nhost: %s\r\n\r\n".formatted(EntryFixture.HOST);

  private final HostileTarget target = new HostileTarget(TransferRun::serveTransfers);
  private final EntryFixture entry =
      new EntryFixture(new RotatingDispatcher(List.of(target.id())), Parameters.NONE);

  TransferRun() throws IOException {}

  private static void serveTransfers(HostileTarget.Connection connection) throws IOException {
    byte[] block = new byte[BLOCK_BYTES];
    while (connection.readAndCountRun().isPresent()) {
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n".formatted(TRANSFER_BYTES));
      for (long sent = 0; sent < TRANSFER_BYTES; sent += BLOCK_BYTES) {
        connection.write(block);
      }
    }
  }

  /** Returns the throughput of one transfer, in MiB a second. */
  double throughput() throws IOException {
    try (RawCaller caller = new RawCaller(entry.endpoint())) {
      final long startNanos = System.nanoTime();
      caller.send(REQUEST);
      InputStream in = caller.socket().getInputStream();
      byte[] block = new byte[BLOCK_BYTES];
      long received = 0;
      while (received < TRANSFER_BYTES) {
        int count = in.read(block);
        if (count < 0) {
          throw new IOException(
              "transfer ended after %d of %d bytes".formatted(received, TRANSFER_BYTES));
        }
        received += count;
      }
      return received / MIB / ((System.nanoTime() - startNanos) / NANOS_PER_SECOND);
    }
  }

  @Override
  public void close() throws IOException {
    entry.close();
    target.close();
  }
}
