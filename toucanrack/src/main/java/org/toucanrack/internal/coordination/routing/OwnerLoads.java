package org.toucanrack.internal.coordination.routing;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanrack.ErrorCode;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.ServiceId;

/**
 * Tracks the load of owners in this VM's view: its own requests in flight there, and recent
 * refusals. Thread-safe.
 */
public final class OwnerLoads {

  private static final long UNREACHABLE_AVOIDANCE_NANOS = 1_000_000_000L;
  private static final long OVERLOADED_AVOIDANCE_NANOS = 50_000_000L;

  private record Key(Incarnation owner, ServiceId service) {}

  private static final class Load {
    final AtomicInteger inFlight = new AtomicInteger();
    volatile boolean avoided;
    volatile long avoidUntilNanos;
  }

  private final Map<Key, Load> loads = new ConcurrentHashMap<>();

  /** Counts a request that is sent to the owner. */
  public void requestStarted(Incarnation owner, ServiceId service) {
    load(owner, service).inFlight.incrementAndGet();
  }

  /** Counts the end of a request; {@code refusal} is null if the owner accepted it. */
  public void requestEnded(Incarnation owner, ServiceId service, ErrorCode refusal, long nowNanos) {
    Load load = load(owner, service);
    load.inFlight.decrementAndGet();
    if (refusal != null) {
      load.avoidUntilNanos = nowNanos + avoidanceNanos(refusal);
      load.avoided = true;
    }
  }

  /** Returns the number of this VM's requests in flight at the owner. */
  public int inFlight(Incarnation owner, ServiceId service) {
    Load load = loads.get(new Key(owner, service));
    return load == null ? 0 : load.inFlight.get();
  }

  /** Returns whether the owner is avoided because it refused a request recently. */
  public boolean isAvoided(Incarnation owner, ServiceId service, long nowNanos) {
    Load load = loads.get(new Key(owner, service));
    return load != null && load.avoided && nowNanos - load.avoidUntilNanos < 0;
  }

  /** Discards the loads of incarnations that are no longer members. */
  public void retainMembers(Set<Incarnation> members) {
    loads.keySet().removeIf(key -> !members.contains(key.owner()));
  }

  private static long avoidanceNanos(ErrorCode refusal) {
    return refusal == ErrorCode.OVERLOADED
        ? OVERLOADED_AVOIDANCE_NANOS
        : UNREACHABLE_AVOIDANCE_NANOS;
  }

  private Load load(Incarnation owner, ServiceId service) {
    return loads.computeIfAbsent(new Key(owner, service), key -> new Load());
  }
}
