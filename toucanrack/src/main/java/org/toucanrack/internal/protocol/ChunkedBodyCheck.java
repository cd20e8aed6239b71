package org.toucanrack.internal.protocol;

/**
 * Parses a chunked body to find its end. Chunk extensions and trailers are rejected, since
 * implementations differ in how they interpret them. Not thread-safe.
 */
final class ChunkedBodyCheck {

  private static final int MAX_SIZE_DIGITS = 7;
  private static final int HEXADECIMAL = 16;

  private enum State {
    SIZE,
    SIZE_END,
    DATA,
    DATA_RETURN,
    DATA_END,
    LAST_RETURN,
    LAST_END,
    COMPLETE
  }

  private State state = State.SIZE;
  private int sizeDigits;
  private long remainingChunkBytes;

  boolean isComplete() {
    return state == State.COMPLETE;
  }

  /**
   * Consumes bytes until the body or the input ends; returns the index after the last consumed
   * byte.
   */
  int feed(byte[] bytes, int from, int to) throws MalformedRequest {
    int position = from;
    while (position < to && state != State.COMPLETE) {
      if (state == State.DATA) {
        int consumed = (int) Math.min(remainingChunkBytes, to - position);
        remainingChunkBytes -= consumed;
        position += consumed;
        state = remainingChunkBytes == 0 ? State.DATA_RETURN : State.DATA;
      } else {
        state = next(bytes[position++]);
      }
    }
    return position;
  }

  private State next(byte value) throws MalformedRequest {
    return switch (state) {
      case SIZE -> readSize(value);
      case SIZE_END ->
          expect(value, '\n', remainingChunkBytes == 0 ? State.LAST_RETURN : State.DATA);
      case DATA_RETURN -> expect(value, '\r', State.DATA_END);
      case DATA_END -> startChunk(value);
      case LAST_RETURN -> expect(value, '\r', State.LAST_END);
      default -> expect(value, '\n', State.COMPLETE);
    };
  }

  private State startChunk(byte value) throws MalformedRequest {
    sizeDigits = 0;
    return expect(value, '\n', State.SIZE);
  }

  private State readSize(byte value) throws MalformedRequest {
    if (value == '\r' && sizeDigits > 0) {
      return State.SIZE_END;
    }
    int digit = Character.digit(value, HEXADECIMAL);
    if (digit < 0 || ++sizeDigits > MAX_SIZE_DIGITS) {
      throw new MalformedRequest(FramingViolation.BAD_CHUNK);
    }
    remainingChunkBytes = remainingChunkBytes * HEXADECIMAL + digit;
    return State.SIZE;
  }

  private static State expect(byte value, char expected, State next) throws MalformedRequest {
    if (value != expected) {
      throw new MalformedRequest(FramingViolation.BAD_CHUNK);
    }
    return next;
  }
}
