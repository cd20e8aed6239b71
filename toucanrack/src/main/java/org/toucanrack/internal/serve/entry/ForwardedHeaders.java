package org.toucanrack.internal.serve.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.steering.HeaderNames;

/**
 * Filters the header fields that are forwarded between callers and backend servers. Hop-by-hop
 * fields are never forwarded. Immutable and thread-safe.
 */
final class ForwardedHeaders {

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "content-length",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final HeaderNames names;
  private final Set<String> reservedFields;

  ForwardedHeaders(HeaderNames names) {
    this.names = names;
    this.reservedFields =
        Set.of(
            toLowerCase(names.deadlineMillis()),
            toLowerCase(names.expectedServer()),
            toLowerCase(names.customer()));
  }

  /**
   * Returns the request to forward to a server. The fields that this VM sets itself replace the
   * caller's; the caller's key is removed if keys are required.
   */
  HttpMessage toServer(
      HttpMessage request,
      BackendServerId server,
      Optional<CustomerId> customer,
      boolean keysRequired,
      long deadlineMillis) {
    List<HttpField> fields = new ArrayList<>(request.fields().size() + 3);
    Set<String> connectionOptions = connectionOptions(request);
    for (HttpField field : request.fields()) {
      String name = toLowerCase(field.name());
      boolean isCallerKey = keysRequired && name.equals("authorization");
      if (!HOP_BY_HOP.contains(name)
          && !connectionOptions.contains(name)
          && !reservedFields.contains(name)
          && !isCallerKey) {
        fields.add(field);
      }
    }
    fields.add(new HttpField(names.deadlineMillis(), Long.toString(deadlineMillis)));
    fields.add(new HttpField(names.expectedServer(), server.value()));
    customer.ifPresent(id -> fields.add(new HttpField(names.customer(), id.value())));
    return HttpMessage.of(request.startLine(), fields, request.body());
  }

  /** Returns a server's answer to forward to the caller. */
  HttpMessage toCaller(HttpMessage answer) {
    List<HttpField> fields = new ArrayList<>(answer.fields().size());
    Set<String> connectionOptions = connectionOptions(answer);
    for (HttpField field : answer.fields()) {
      String name = toLowerCase(field.name());
      if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
        fields.add(field);
      }
    }
    return HttpMessage.of(answer.startLine(), fields, answer.body());
  }

  private static Set<String> connectionOptions(HttpMessage message) {
    Set<String> connectionOptions = new HashSet<>();
    for (HttpField field : message.fields()) {
      if (field.isNamed("connection")) {
        for (String name : field.value().split(",")) {
          connectionOptions.add(toLowerCase(name.strip()));
        }
      }
    }
    return connectionOptions;
  }

  private static String toLowerCase(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
