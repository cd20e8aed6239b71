package org.toucanrack.internal.serve.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.steering.EntrySettings;

/**
 * Counts look-ups by where the named VMs run, and logs those that name no VM of the caller's region
 * with what this VM knows of that region. Confined to the control thread.
 */
final class LookupReporter {

  /** Look-ups come several times a second; a line a second and region shows when they changed. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EntrySettings settings;
  private final MemberTable members;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final long startedNanos;
  private final Map<RegionId, Unlogged> unlogged = new HashMap<>();

  private static final class Unlogged {
    private long loggedNanos;
    private int lookups;
  }

  LookupReporter(
      EntrySettings settings,
      MemberTable members,
      DecisionLog log,
      EntryMetrics metrics,
      long startedNanos) {
    this.settings = settings;
    this.members = members;
    this.log = log;
    this.metrics = metrics;
    this.startedNanos = startedNanos;
  }

  /** Records an answer to a caller in a failure domain; empty if the caller did not tell it. */
  void record(
      Optional<FailureDomainId> caller,
      LookupAnswer answer,
      boolean isReady,
      boolean isLeaving,
      long nowNanos) {
    metrics.countLookup(answer.scope());
    if (answer.scope() == LookupAnswer.Scope.CALLERS_REGION) {
      return;
    }
    RegionId region = caller.map(settings.regions()::get).orElse(settings.region());
    Unlogged pending = unlogged.get(region);
    if (pending == null) {
      pending = new Unlogged();
      pending.loggedNanos = nowNanos - LOG_INTERVAL_NANOS;
      unlogged.put(region, pending);
    }
    pending.lookups++;
    if (nowNanos - pending.loggedNanos < LOG_INTERVAL_NANOS) {
      return;
    }
    MemberTable.Contact contact =
        members.contact(
            member ->
                region.equals(
                    settings.regions().get(new FailureDomainId(member.getFailureDomain()))),
            nowNanos);
    log.event(
        "lookup-outside-region",
        "caller",
        caller.map(FailureDomainId::value).orElse("-"),
        "scope",
        answer.scope().label(),
        "lookups",
        pending.lookups,
        "named",
        answer.vms().size(),
        "heard",
        contact.heard(),
        "alive",
        contact.alive(),
        "silent_ms",
        contact.silentNanos().isEmpty()
            ? -1
            : TimeUnit.NANOSECONDS.toMillis(contact.silentNanos().getAsLong()),
        "members",
        members.size(),
        "ready",
        isReady,
        "leaving",
        isLeaving,
        "up_ms",
        TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos));
    pending.loggedNanos = nowNanos;
    pending.lookups = 0;
  }
}
