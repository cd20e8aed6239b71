package org.toucanrack.internal.transport.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.toucanrack.internal.protocol.generated.HeaderField;

/** Reads the headers of ActiveJ messages. Stateless and thread-safe. */
final class MessageHeaders {

  private MessageHeaders() {}

  static List<HeaderField> of(HttpMessage message) {
    List<HeaderField> fields = new ArrayList<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : message.getHeaders()) {
      fields.add(
          HeaderField.newBuilder()
              .setName(header.getKey().toString())
              .setValue(header.getValue().toString())
              .build());
    }
    return fields;
  }
}
