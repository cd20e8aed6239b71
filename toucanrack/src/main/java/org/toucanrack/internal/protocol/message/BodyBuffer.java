package org.toucanrack.internal.protocol.message;

import java.util.Arrays;

/**
 * Collects the bytes of one body. Invariants: the allocated memory is at most twice the received
 * bytes, apart from a small minimum; a body of known length ends up in an array of that length
 * without a further copy. Not thread-safe.
 */
final class BodyBuffer {

  private static final byte[] NO_BYTES = {};

  private static final int INITIAL_BYTES = 1024;
  private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 8;

  private final int maxLength;
  private byte[] bytes = NO_BYTES;
  private int size;

  private BodyBuffer(int maxLength) {
    this.maxLength = maxLength;
  }

  /** Creates a buffer for a body of this length; one that no array can hold is never complete. */
  static BodyBuffer ofLength(long length) {
    return new BodyBuffer((int) Math.min(length, MAX_ARRAY_BYTES));
  }

  /** Creates a buffer for a body whose length is known at its end only. */
  static BodyBuffer ofUnknownLength() {
    return new BodyBuffer(MAX_ARRAY_BYTES);
  }

  void append(byte[] source, int offset, int length) {
    int needed = size + length;
    if (needed > bytes.length) {
      bytes = Arrays.copyOf(bytes, grownLength(needed));
    }
    System.arraycopy(source, offset, bytes, size, length);
    size = needed;
  }

  private int grownLength(int needed) {
    long doubled = Math.max(2L * bytes.length, INITIAL_BYTES);
    return (int) Math.max(needed, Math.min(doubled, maxLength));
  }

  int size() {
    return size;
  }

  /** Returns the memory that is allocated, in bytes. */
  int allocatedBytes() {
    return bytes.length;
  }

  /** Returns the body; the buffer must not be used afterwards. */
  byte[] toArray() {
    return size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
  }
}
