package org.toucanrack.internal.transport.relay;

import java.util.ArrayList;
import java.util.List;
import org.toucanrack.internal.protocol.message.EncodedMessage;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * A request of a {@link ResponseQueue} and its response, once there is one. Confined to one event
 * loop.
 */
final class PendingResponse {

  private static final HttpField CONNECTION_CLOSE = new HttpField("Connection", "close");
  private static final byte[] NO_BODY = {};
  private static final Runnable NO_ACTION = () -> {};

  private final HttpMessage request;
  private final long requestBytes;
  private HttpMessage response;
  private long completedMillis;
  private boolean held;
  private Runnable onAbandoned = NO_ACTION;

  PendingResponse(HttpMessage request) {
    this.request = request;
    this.requestBytes = request.memoryBytes();
  }

  /** Returns the memory in bytes that the request needs. */
  long requestBytes() {
    return requestBytes;
  }

  HttpMessage request() {
    return request;
  }

  boolean isComplete() {
    return response != null;
  }

  /** Returns the response; null until the request is complete. */
  HttpMessage response() {
    return response;
  }

  /** Returns whether an earlier request had no response when this one was complete. */
  boolean isHeld() {
    return held;
  }

  long completedMillis() {
    return completedMillis;
  }

  void complete(HttpMessage newResponse, boolean waitsForOthers, long nowMillis) {
    response = newResponse;
    held = waitsForOthers;
    completedMillis = nowMillis;
  }

  void replaceResponse(HttpMessage replacement) {
    response = replacement;
  }

  /** Returns the approximate size of the encoded response. */
  long responseBytes() {
    long bytes = response.startLine().length() + response.body().length;
    for (HttpField field : response.fields()) {
      bytes += field.name().length() + field.value().length();
    }
    return bytes;
  }

  /** Returns the encoded response; that to HEAD has no body. */
  EncodedMessage encode(boolean closesConnection) {
    List<HttpField> fields = new ArrayList<>(response.fields());
    if (closesConnection && !response.closesConnection()) {
      fields.add(CONNECTION_CLOSE);
    }
    EncodedMessage encoded =
        HttpMessage.of(response.startLine(), fields, response.body()).encoded(true);
    boolean withoutBody = request.method().equals("HEAD");
    return withoutBody ? new EncodedMessage(encoded.head(), NO_BODY) : encoded;
  }

  void onAbandoned(Runnable action) {
    onAbandoned = action;
  }

  void abandon() {
    onAbandoned.run();
  }
}
