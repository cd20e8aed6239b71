package org.toucanrack.internal.transport.http;

import com.google.protobuf.ByteString;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.Optional;

/**
 * Reads a whole request body up to a limit. {@code HttpMessage.loadBody} is not used: over its
 * limit it closes the connection with a bare 400 before a refusal can be written. Confined to one
 * event loop.
 */
final class BodyReader {

  private final ChannelSupplier<ByteBuf> stream;
  private final long limitBytes;
  private final ByteString.Output bytes = ByteString.newOutput();

  private BodyReader(ChannelSupplier<ByteBuf> stream, long limitBytes) {
    this.stream = stream;
    this.limitBytes = limitBytes;
  }

  /** Returns the body as sent, or empty if it exceeds the limit; the rest is then left unread. */
  static Promise<Optional<ByteString>> read(HttpRequest request, long limitBytes) {
    return new BodyReader(request.takeBodyStream(), limitBytes).readNext();
  }

  private Promise<Optional<ByteString>> readNext() {
    return stream
        .get()
        .then(
            chunk -> {
              if (chunk == null) {
                return Promise.of(Optional.of(bytes.toByteString()));
              }
              bytes.write(chunk.array(), chunk.head(), chunk.readRemaining());
              chunk.recycle();
              return bytes.size() > limitBytes ? Promise.of(Optional.empty()) : readNext();
            });
  }
}
