package org.toucanrack.internal.transport.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/**
 * Decodes length-prefixed envelopes. The size limit stays low until the peer has proved that it
 * knows the secret. Confined to one I/O thread.
 */
final class EnvelopeDecoder extends ByteToMessageDecoder {

  /** Maximum message size before authentication; fits a handshake with names and addresses. */
  static final int MAX_HANDSHAKE_BYTES = 4096;

  private static final int MAX_PREFIX_BYTES = 5;

  private int maxMessageBytes = MAX_HANDSHAKE_BYTES;

  void setMaxMessageBytes(int bytes) {
    maxMessageBytes = bytes;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws IOException {
    in.markReaderIndex();
    int length = readLengthPrefix(in);
    if (length < 0) {
      in.resetReaderIndex();
      return;
    }
    if (length > maxMessageBytes) {
      throw new TooLongFrameException(
          "message of " + length + " bytes exceeds the limit of " + maxMessageBytes);
    }
    if (in.readableBytes() < length) {
      in.resetReaderIndex();
      return;
    }
    out.add(parse(in.readSlice(length)));
  }

  private static PeerEnvelope parse(ByteBuf frame) throws IOException {
    try (ByteBufInputStream stream = new ByteBufInputStream(frame)) {
      return PeerEnvelope.parseFrom(stream);
    } catch (InvalidProtocolBufferException e) {
      throw new CorruptedFrameException("message is not a valid envelope", e);
    }
  }

  /** Returns the message length, or -1 if the prefix is incomplete. */
  private static int readLengthPrefix(ByteBuf in) {
    int length = 0;
    for (int i = 0; i < MAX_PREFIX_BYTES; i++) {
      if (!in.isReadable()) {
        return -1;
      }
      byte next = in.readByte();
      length |= (next & 0x7f) << (7 * i);
      if (next >= 0) {
        return requireNonNegative(length);
      }
    }
    throw new CorruptedFrameException("length prefix is longer than 5 bytes");
  }

  private static int requireNonNegative(int length) {
    if (length < 0) {
      throw new CorruptedFrameException("length prefix is negative");
    }
    return length;
  }
}
