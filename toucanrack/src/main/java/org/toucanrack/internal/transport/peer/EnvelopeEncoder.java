package org.toucanrack.internal.transport.peer;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;

/** Encodes envelopes with a varint length prefix. Stateless and thread-safe. */
@Sharable
final class EnvelopeEncoder extends MessageToByteEncoder<PeerEnvelope> {

  EnvelopeEncoder() {
    super(PeerEnvelope.class);
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerEnvelope message, ByteBuf out)
      throws IOException {
    int size = message.getSerializedSize();
    out.ensureWritable(size + CodedOutputStream.computeUInt32SizeNoTag(size));
    CodedOutputStream stream = CodedOutputStream.newInstance(new ByteBufOutputStream(out));
    stream.writeUInt32NoTag(size);
    message.writeTo(stream);
    stream.flush();
  }
}
