package org.toucanrack.platform;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The object store of the platform. Objects are named by the hash of their content, so a put is
 * idempotent. Calls never complete exceptionally. Implementations are thread-safe.
 */
public interface ObjectStore {

  /** Reads an object; the result is empty if there is none with this name. */
  CompletionStage<StoreAnswer<Optional<byte[]>>> get(String name);

  /** Writes an object. */
  CompletionStage<StoreAnswer<Void>> put(String name, byte[] content);
}
