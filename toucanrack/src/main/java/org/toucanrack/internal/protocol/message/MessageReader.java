package org.toucanrack.internal.protocol.message;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Parses the bytes of one connection into complete messages.
 *
 * <p>Ambiguous framing is rejected: if two parsers disagree about the end of a message, a request
 * can be smuggled inside another one. Invariants: a message is returned only after its last byte
 * was received; a reader without received bytes holds no memory for them, since connections stay
 * open between messages. Not thread-safe.
 */
public final class MessageReader {

  private static final int INITIAL_BYTES = 2048;

  /**
   * After a message the buffer is replaced if the bytes behind it are fewer than its size divided
   * by this.
   */
  private static final int MIN_USED_DIVISOR = 4;

  private static final byte[] NO_BYTES = {};

  private static final int BAD_REQUEST = 400;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int HEADER_TOO_LARGE = 431;
  private static final int MAX_LENGTH_DIGITS = 15;
  private static final int MAX_CHUNK_DIGITS = 7;
  private static final int HEXADECIMAL = 16;
  private static final int MAX_CHUNK_LINE_BYTES = 64;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int REQUEST_LINE_PARTS = 3;

  /** Kind of message that the peer sends. */
  public enum Kind {
    REQUEST,
    RESPONSE
  }

  private enum State {
    HEAD,
    LENGTH_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER,
    UNTIL_CLOSE
  }

  private final Kind kind;
  private final int maxHeadBytes;
  private final long maxBodyBytes;
  private byte[] buffer = NO_BYTES;
  private int start;
  private int end;
  private int headBytesScanned;
  private State state = State.HEAD;
  private String startLine;
  private List<HttpField> fields = List.of();
  private long remainingBytes;

  /** The body that is being read; null if the head is incomplete. */
  private BodyBuffer body;

  private long headMemoryBytes;
  private boolean chunkedBodyComplete;
  private long trailerBytes;
  private boolean discardingBody;

  /** Creates a reader with limits in bytes. */
  public MessageReader(Kind kind, int maxHeadBytes, long maxBodyBytes) {
    this.kind = kind;
    this.maxHeadBytes = maxHeadBytes;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Appends received bytes. Bytes of a body are added to it without a copy in between. */
  public void feed(byte[] bytes, int offset, int length) {
    int bodyBytes = start == end ? appendToBody(bytes, offset, length) : 0;
    appendToBuffer(bytes, offset + bodyBytes, length - bodyBytes);
  }

  private void appendToBuffer(byte[] bytes, int offset, int length) {
    if (end + length > buffer.length) {
      int used = end - start;
      int needed = used + length;
      byte[] target =
          needed > buffer.length
              ? new byte[Math.max(Math.max(needed, 2 * buffer.length), INITIAL_BYTES)]
              : buffer;
      System.arraycopy(buffer, start, target, 0, used);
      buffer = target;
      start = 0;
      end = used;
    }
    System.arraycopy(bytes, offset, buffer, end, length);
    end += length;
  }

  /** Appends bytes to the body that is being read; returns how many of them belong to it. */
  private int appendToBody(byte[] bytes, int offset, int length) {
    int bodyBytes = (int) Math.min(length, bodyBytesToRead());
    if (!discardingBody && bodyBytes > 0) {
      body.append(bytes, offset, bodyBytes);
    }
    if (state != State.UNTIL_CLOSE) {
      remainingBytes -= bodyBytes;
    }
    return bodyBytes;
  }

  /** Returns how many of the next bytes belong to the body. */
  private long bodyBytesToRead() {
    return switch (state) {
      case LENGTH_BODY, CHUNK_DATA -> remainingBytes;
      case UNTIL_CLOSE -> Long.MAX_VALUE;
      default -> 0;
    };
  }

  private void moveBufferedBytesToBody() {
    start += appendToBody(buffer, start, end - start);
  }

  /** Returns whether bytes of an incomplete or unread message are buffered. */
  public boolean hasBufferedBytes() {
    return start < end || state != State.HEAD;
  }

  /** Returns the memory that the reader holds, in bytes, whether or not it is used. */
  public long allocatedBytes() {
    return buffer.length + (body == null ? 0 : headMemoryBytes + body.allocatedBytes());
  }

  /**
   * Returns the memory in bytes that the reader will hold when the message that is being read is
   * complete, as far as its size is known.
   */
  public long requiredBytes() {
    long missingBytes = state == State.UNTIL_CLOSE ? 0 : bodyBytesToRead();
    return body == null
        ? allocatedBytes()
        : Math.max(allocatedBytes(), buffer.length + headMemoryBytes + body.size() + missingBytes);
  }

  /** Returns the head of the message whose body is being read. */
  public Optional<HttpMessage> head() {
    return body == null ? Optional.empty() : Optional.of(HttpMessage.of(startLine, fields));
  }

  /** Drops the body of the message that is being read; the message will have an empty body. */
  public void discardBody() {
    discardingBody = true;
    if (body != null) {
      body = BodyBuffer.ofUnknownLength();
    }
  }

  /** Returns the next message if it was received completely. */
  public Optional<HttpMessage> poll() throws MalformedMessage {
    while (true) {
      if (!readNextPart()) {
        releaseUnusedMemory();
        return Optional.empty();
      }
      if (chunkedBodyComplete || state == State.LENGTH_BODY && remainingBytes == 0) {
        return Optional.of(finish(false));
      }
    }
  }

  /** Reads the next part of a message; returns whether it was complete. */
  private boolean readNextPart() throws MalformedMessage {
    return switch (state) {
      case HEAD -> readHead();
      case LENGTH_BODY -> readLengthBody();
      case CHUNK_SIZE -> readChunkSize();
      case CHUNK_DATA -> readChunkData();
      case CHUNK_END -> readChunkEnd();
      case TRAILER -> readTrailer();
      case UNTIL_CLOSE -> readUntilClose();
    };
  }

  /**
   * Returns the close-delimited message that an orderly end of the connection completes, if any.
   */
  public Optional<HttpMessage> pollAtEnd() {
    if (state != State.UNTIL_CLOSE) {
      return Optional.empty();
    }
    moveBufferedBytesToBody();
    return Optional.of(finish(true));
  }

  private HttpMessage finish(boolean closeDelimited) {
    final HttpMessage message = new HttpMessage(startLine, fields, body.toArray(), closeDelimited);
    state = State.HEAD;
    startLine = null;
    fields = List.of();
    body = null;
    chunkedBodyComplete = false;
    discardingBody = false;
    releaseUnusedMemory();
    return message;
  }

  /** Releases an empty buffer, and one that is far too large for the bytes behind a message. */
  private void releaseUnusedMemory() {
    int used = end - start;
    if (used == 0) {
      buffer = NO_BYTES;
    } else if (state == State.HEAD
        && buffer.length > INITIAL_BYTES
        && used < buffer.length / MIN_USED_DIVISOR) {
      buffer = Arrays.copyOfRange(buffer, start, start + Math.max(used, INITIAL_BYTES));
    } else {
      return;
    }
    start = 0;
    end = used;
  }

  private boolean readLengthBody() {
    moveBufferedBytesToBody();
    return remainingBytes == 0;
  }

  private boolean readUntilClose() throws MalformedMessage {
    moveBufferedBytesToBody();
    if (body.size() > maxBodyBytes) {
      throw bodyTooLarge();
    }
    return false;
  }

  private boolean readHead() throws MalformedMessage {
    skipEmptyLines();
    int headEnd = findEndOfHead();
    if (headEnd < 0) {
      if (end - start > maxHeadBytes) {
        throw new MalformedMessage(HEADER_TOO_LARGE, "the header is too large");
      }
      return false;
    }
    if (headEnd - start > maxHeadBytes) {
      throw new MalformedMessage(HEADER_TOO_LARGE, "the header is too large");
    }
    String head = new String(buffer, start, headEnd - start, StandardCharsets.ISO_8859_1);
    start = headEnd;
    parseHead(head);
    return true;
  }

  /** RFC 9112 recommends ignoring empty lines before a request. */
  private void skipEmptyLines() {
    while (kind == Kind.REQUEST
        && end - start >= 2
        && buffer[start] == '\r'
        && buffer[start + 1] == '\n') {
      start += 2;
    }
  }

  private int findEndOfHead() {
    for (int i = start + headBytesScanned; i + 3 < end; i++) {
      if (buffer[i] == '\r'
          && buffer[i + 1] == '\n'
          && buffer[i + 2] == '\r'
          && buffer[i + 3] == '\n') {
        headBytesScanned = 0;
        return i + 4;
      }
    }
    headBytesScanned = Math.max(0, end - start - 3);
    return -1;
  }

  private void parseHead(String head) throws MalformedMessage {
    String[] lines = head.split("\r\n");
    startLine = lines.length == 0 ? "" : lines[0];
    checkStartLine();
    List<HttpField> parsed = new ArrayList<>(lines.length);
    for (int i = 1; i < lines.length; i++) {
      parsed.add(parseField(lines[i]));
    }
    fields = parsed;
    headMemoryBytes = HttpMessage.headMemoryBytes(startLine, fields);
    startBody();
  }

  private void checkStartLine() throws MalformedMessage {
    boolean valid;
    if (kind == Kind.RESPONSE) {
      valid = StatusLine.isValid(startLine);
    } else {
      String[] parts = startLine.split(" ", -1);
      valid =
          parts.length == REQUEST_LINE_PARTS
              && isToken(parts[0])
              && parts[1].startsWith("/")
              && parts[2].equals("HTTP/1.1")
              && !hasControlCharacter(startLine);
    }
    if (!valid) {
      throw malformed("the start line is not valid");
    }
  }

  private static HttpField parseField(String line) throws MalformedMessage {
    int colon = line.indexOf(':');
    if (colon < 1 || !isToken(line.substring(0, colon)) || hasControlCharacter(line)) {
      throw malformed("a header field is not valid");
    }
    return new HttpField(line.substring(0, colon), line.substring(colon + 1).strip());
  }

  private void startBody() throws MalformedMessage {
    int lengths = 0;
    int encodings = 0;
    long length = 0;
    for (HttpField field : fields) {
      if (field.isNamed("content-length")) {
        lengths++;
        length = parseLength(field.value());
      } else if (field.isNamed("transfer-encoding")) {
        encodings++;
        if (!field.value().equalsIgnoreCase("chunked")) {
          throw malformed("the transfer encoding is not supported");
        }
      }
    }
    if (lengths + encodings > 1) {
      throw malformed("the length of the body is ambiguous");
    }
    if (length > maxBodyBytes) {
      throw bodyTooLarge();
    }
    remainingBytes = length;
    boolean withoutBody = kind == Kind.RESPONSE && hasNoBody(StatusLine.statusOf(startLine));
    if (encodings > 0 && !withoutBody) {
      body = BodyBuffer.ofUnknownLength();
      trailerBytes = 0;
      state = State.CHUNK_SIZE;
    } else if (lengths > 0 || withoutBody || kind == Kind.REQUEST) {
      remainingBytes = withoutBody ? 0 : length;
      body = BodyBuffer.ofLength(remainingBytes);
      state = State.LENGTH_BODY;
    } else {
      body = BodyBuffer.ofUnknownLength();
      state = State.UNTIL_CLOSE;
    }
  }

  private static boolean hasNoBody(int status) {
    return status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED;
  }

  private static long parseLength(String value) throws MalformedMessage {
    boolean digits =
        !value.isEmpty()
            && value.length() <= MAX_LENGTH_DIGITS
            && value.chars().allMatch(c -> c >= '0' && c <= '9');
    if (!digits) {
      throw malformed("the length of the body is not valid");
    }
    return Long.parseLong(value);
  }

  private boolean readChunkSize() throws MalformedMessage {
    String line = readLine();
    if (line == null) {
      return false;
    }
    int extension = line.indexOf(';');
    String digits = (extension < 0 ? line : line.substring(0, extension)).strip();
    if (digits.isEmpty() || digits.length() > MAX_CHUNK_DIGITS) {
      throw malformed("a chunk size is not valid");
    }
    remainingBytes = 0;
    for (int i = 0; i < digits.length(); i++) {
      int digit = Character.digit(digits.charAt(i), HEXADECIMAL);
      if (digit < 0) {
        throw malformed("a chunk size is not valid");
      }
      remainingBytes = remainingBytes * HEXADECIMAL + digit;
    }
    if (body.size() + remainingBytes > maxBodyBytes) {
      throw bodyTooLarge();
    }
    state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
    return true;
  }

  private boolean readChunkData() {
    moveBufferedBytesToBody();
    if (remainingBytes > 0) {
      return false;
    }
    state = State.CHUNK_END;
    return true;
  }

  private boolean readChunkEnd() throws MalformedMessage {
    String line = readLine();
    if (line == null) {
      return false;
    }
    if (!line.isEmpty()) {
      throw malformed("a chunk does not end where it should");
    }
    state = State.CHUNK_SIZE;
    return true;
  }

  /** Reads and discards trailer fields. */
  private boolean readTrailer() throws MalformedMessage {
    String line = readLine();
    if (line == null) {
      return false;
    }
    if (line.isEmpty()) {
      chunkedBodyComplete = true;
    }
    trailerBytes += line.length();
    if (trailerBytes > maxHeadBytes) {
      throw malformed("the trailer is too large");
    }
    return true;
  }

  private String readLine() throws MalformedMessage {
    for (int i = start; i + 1 < end; i++) {
      if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
        String line = new String(buffer, start, i - start, StandardCharsets.ISO_8859_1);
        start = i + 2;
        return line;
      }
    }
    if (end - start > MAX_CHUNK_LINE_BYTES && state != State.TRAILER
        || end - start > maxHeadBytes) {
      throw malformed("a line of a chunked body is too long");
    }
    return null;
  }

  private static MalformedMessage malformed(String message) {
    return new MalformedMessage(BAD_REQUEST, message);
  }

  private static MalformedMessage bodyTooLarge() {
    return new MalformedMessage(CONTENT_TOO_LARGE, "the body is too large");
  }

  private static boolean isToken(String name) {
    return !name.isEmpty()
        && name.chars()
            .allMatch(
                c ->
                    (c >= 'a' && c <= 'z')
                        || (c >= 'A' && c <= 'Z')
                        || (c >= '0' && c <= '9')
                        || "!#$%&'*+-.^_`|~".indexOf(c) >= 0);
  }

  private static boolean hasControlCharacter(String line) {
    return line.chars().anyMatch(c -> (c < ' ' && c != '\t') || c == 0x7f);
  }
}
