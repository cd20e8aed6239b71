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
  private final long limit;
  private final ByteString.Output bytes = ByteString.newOutput();

  private BodyReader(ChannelSupplier<ByteBuf> stream, long limit) {
    this.stream = stream;
    this.limit = limit;
  }

  /** Returns the body as sent, or empty if it is over the limit; the rest is then left unread. */
  static Promise<Optional<ByteString>> read(HttpRequest request, long limit) {
    return new BodyReader(request.takeBodyStream(), limit).next();
  }

  private Promise<Optional<ByteString>> next() {
    return stream
        .get()
        .then(
            part -> {
              if (part == null) {
                return Promise.of(Optional.of(bytes.toByteString()));
              }
              bytes.write(part.array(), part.head(), part.readRemaining());
              part.recycle();
              return bytes.size() > limit ? Promise.of(Optional.empty()) : next();
            });
  }
}
