package org.toucanrack.internal.transport.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.toucanrack.platform.ObjectStore;
import org.toucanrack.platform.StoreAnswer;

/** Accesses the platform's object store over HTTP. Thread-safe. */
final class HttpObjectStore implements ObjectStore {

  private static final int NOT_FOUND = 404;

  private final PlatformCalls calls;

  HttpObjectStore(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletionStage<StoreAnswer<Optional<byte[]>>> get(String name) {
    return calls.get(path(name), HttpObjectStore::decodeGet);
  }

  @Override
  public CompletionStage<StoreAnswer<Void>> put(String name, byte[] content) {
    return calls.put(path(name), content.clone(), HttpObjectStore::decodePut);
  }

  private static Optional<byte[]> decodeGet(int status, byte[] body) throws IOException {
    if (status == NOT_FOUND) {
      return Optional.empty();
    }
    PlatformCalls.requireOk(status, body);
    return Optional.of(body);
  }

  private static Void decodePut(int status, byte[] body) throws IOException {
    if (status < 200 || status > 299) {
      throw new IOException("the platform answered with status " + status);
    }
    return null;
  }

  private static String path(String name) {
    return "/objects/" + URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
