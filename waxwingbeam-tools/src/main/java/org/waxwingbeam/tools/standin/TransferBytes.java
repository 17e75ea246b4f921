package org.waxwingbeam.tools.standin;

import io.netty.buffer.ByteBuf;

/**
 * The content of a stand-in target's transfers, defined so that a receiver can check each byte.
 *
 * @since 0.1.0
 */
public final class TransferBytes {
  private TransferBytes() {}

  /** Returns the byte at a position of every transfer. */
  public static byte byteAt(long position) {
    return (byte) (position ^ (position >>> 8) ^ (position >>> 16) ^ (position >>> 24));
  }

  /** Appends the bytes of a range. */
  static void write(ByteBuf buffer, long from, int length) {
    for (int index = 0; index < length; index++) {
      buffer.writeByte(byteAt(from + index));
    }
  }
}
