package org.toucanrack.internal.protocol;

import java.util.Arrays;
import java.util.Optional;

/**
 * Validates the framing of all requests on one connection before the bytes reach the HTTP parser.
 * ActiveJ accepts ambiguous requests, which allow request smuggling.
 *
 * <p>Invariant: no bytes pass after a violation. Not thread-safe.
 */
public final class FramingCheck {

  /** Maximum total size of request line and headers. */
  public static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final int INITIAL_HEAD_BYTES = 512;

  /** Part of a request that the connection is receiving. */
  public enum Phase {
    BETWEEN_REQUESTS,
    HEAD,
    BODY
  }

  private byte[] head = new byte[INITIAL_HEAD_BYTES];
  private int headSize;
  private long remainingBodyBytes;
  private ChunkedBodyCheck chunkedBody;
  private long headCount;
  private FramingViolation violation;

  /**
   * Checks the next bytes.
   *
   * @return the index up to which bytes may be passed on: {@code to}, or the start of a rejected
   *     request
   */
  public int feed(byte[] bytes, int from, int to) {
    int position = from;
    int passableEnd = from;
    try {
      while (position < to && violation == null) {
        position =
            phase() == Phase.BODY ? checkBody(bytes, position, to) : checkHead(bytes, position, to);
        passableEnd =
            phase() == Phase.BETWEEN_REQUESTS || phase() == Phase.BODY ? position : passableEnd;
      }
    } catch (MalformedRequest e) {
      violation = e.violation();
    }
    return violation == null ? to : passableEnd;
  }

  /** Returns the violation for which the connection was rejected, if any. */
  public Optional<FramingViolation> violation() {
    return Optional.ofNullable(violation);
  }

  /** Returns the part of a request that the connection is receiving. */
  public Phase phase() {
    if (remainingBodyBytes > 0 || chunkedBody != null) {
      return Phase.BODY;
    }
    return headSize > 0 ? Phase.HEAD : Phase.BETWEEN_REQUESTS;
  }

  /** Returns the number of request heads that were accepted. */
  public long headCount() {
    return headCount;
  }

  private int checkBody(byte[] bytes, int from, int to) throws MalformedRequest {
    if (chunkedBody == null) {
      int consumed = (int) Math.min(remainingBodyBytes, to - from);
      remainingBodyBytes -= consumed;
      return from + consumed;
    }
    int position = chunkedBody.feed(bytes, from, to);
    chunkedBody = chunkedBody.isComplete() ? null : chunkedBody;
    return position;
  }

  private int checkHead(byte[] bytes, int from, int to) throws MalformedRequest {
    for (int i = from; i < to; i++) {
      append(bytes[i]);
      if (endsWithEmptyLine()) {
        finishHead();
        return i + 1;
      }
    }
    return to;
  }

  private void append(byte value) throws MalformedRequest {
    if (headSize == MAX_HEAD_BYTES) {
      throw new MalformedRequest(FramingViolation.HEADERS_TOO_LARGE);
    }
    boolean afterReturn = headSize > 0 && head[headSize - 1] == '\r';
    if (afterReturn != (value == '\n')) {
      throw new MalformedRequest(FramingViolation.BARE_LINE_END);
    }
    if (headSize == head.length) {
      head = Arrays.copyOf(head, Math.min(MAX_HEAD_BYTES, head.length * 2));
    }
    head[headSize++] = value;
  }

  private boolean endsWithEmptyLine() {
    return headSize >= 4
        && head[headSize - 1] == '\n'
        && head[headSize - 3] == '\n'
        && head[headSize - 4] == '\r';
  }

  private void finishHead() throws MalformedRequest {
    BodyFraming framing = new HeadCheck().check(head, headSize);
    headSize = 0;
    headCount++;
    chunkedBody = framing.chunked() ? new ChunkedBodyCheck() : null;
    remainingBodyBytes = framing.length();
  }
}
