package org.toucanrack.internal.coordination.steer;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The objects that a server has handled recently, as far as this VM knows, by their hashes. The
 * least recently handled ones are dropped above {@value #MAX_OBJECTS}. Not thread-safe.
 */
final class HandledObjects {

  /**
   * Time without requests about an object after which a server has probably evicted it from its
   * cache.
   */
  private static final long OBJECT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Recently handled objects that are tracked for each server. */
  private static final int MAX_OBJECTS = 256;

  private final Map<Long, Long> handledNanos =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_OBJECTS;
        }
      };

  void record(long objectHash, long nowNanos) {
    handledNanos.put(objectHash, nowNanos);
  }

  void remove(long objectHash) {
    handledNanos.remove(objectHash);
  }

  boolean includes(long objectHash, long nowNanos) {
    Long handled = handledNanos.get(objectHash);
    return handled != null && nowNanos - handled < OBJECT_RETENTION_NANOS;
  }
}
