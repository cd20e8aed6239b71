package org.toucanrack.internal.serve.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import io.activej.reactor.nio.NioReactor;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.duty.CountTeller;
import org.toucanrack.internal.coordination.duty.DutyCandidates;
import org.toucanrack.internal.coordination.duty.DutyLease;
import org.toucanrack.internal.coordination.duty.DutyRecord;
import org.toucanrack.internal.coordination.duty.DutySteps;
import org.toucanrack.internal.coordination.duty.HolderSigns;
import org.toucanrack.internal.coordination.duty.Moment;
import org.toucanrack.internal.coordination.duty.ReportWindows;
import org.toucanrack.internal.coordination.duty.ToldCounts;
import org.toucanrack.internal.coordination.duty.TrueClock;
import org.toucanrack.internal.coordination.duty.UsageCounter;
import org.toucanrack.internal.coordination.duty.UsageLedger;
import org.toucanrack.internal.coordination.steer.MemberTable;
import org.toucanrack.internal.observe.DecisionLog;
import org.toucanrack.internal.protocol.generated.DutyRow;
import org.toucanrack.internal.protocol.generated.EntryDatagram;
import org.toucanrack.internal.protocol.generated.EntryHeartbeat;
import org.toucanrack.internal.protocol.generated.UsageCounts;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.steering.SharedRow;
import org.toucanrack.steering.SharedStore;
import org.toucanrack.steering.SharedTable;
import org.toucanrack.steering.StoreEpoch;
import org.toucanrack.steering.UsageReport;
import org.toucanrack.steering.UsageReporting;
import org.toucanrack.steering.UsageSink;

/**
 * Carries out the decisions about usage reports: calls the store and the platform, tells the counts
 * of this VM to the holder of the duty, and collects those of the other VMs. Confined to the
 * control thread.
 */
final class UsageReporter {

  private static final long TICK_MS = 250;

  /** A copy of the row that may not fit into a datagram is not sent; the store has the row. */
  private static final int MAX_COPY_BYTES = 12 * 1024;

  private static final SharedRow.RowKey KEY = new SharedRow.RowKey(SharedTable.DUTIES, "usage");

  private final NioReactor reactor;
  private final VmId self;
  private final UsageReporting reporting;
  private final SharedStore store;
  private final UsageSink sink;
  private final MemberTable members;
  private final UsageCounter counter;
  private final CountTeller teller;
  private final Network network;
  private final DecisionLog log;
  private final EntryMetrics metrics;
  private final long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final ReportWindows windows;
  private final TrueClock clock;
  private final UsageLedger ledger = new UsageLedger();
  private final DutyLease lease;
  private final DutySteps steps;
  private EntryHeartbeat ownHeartbeat = EntryHeartbeat.getDefaultInstance();
  private List<VmId> candidates = List.of();
  private boolean heldBefore;

  /** The epoch of the store that the revision of the last read row belongs to. */
  private StoreEpoch rowEpoch = StoreEpoch.NONE;

  private long unreadableRevision;
  private UsageSink.Outcome lastOutcome = UsageSink.Outcome.ACCEPTED;

  /** How this VM reaches the other ones. */
  interface Network {

    /** Sends a datagram to a VM. */
    void send(byte[] datagram, InetSocketAddress target);

    /** Sends a heartbeat to all VMs now. */
    void sendHeartbeat();
  }

  UsageReporter(
      NioReactor reactor,
      VmId self,
      UsageReporting reporting,
      SharedStore store,
      UsageSink sink,
      MemberTable members,
      UsageCounter counter,
      Network network,
      DecisionLog log,
      EntryMetrics metrics) {
    this.reactor = reactor;
    this.self = self;
    this.reporting = reporting;
    this.store = store;
    this.sink = sink;
    this.members = members;
    this.counter = counter;
    this.network = network;
    this.log = log;
    this.metrics = metrics;
    this.windows = ReportWindows.of(reporting.window());
    this.clock = new TrueClock(timeOfDayNanos(), System.nanoTime());
    this.lease = new DutyLease(self, incarnation, reporting, System.nanoTime());
    this.steps = new DutySteps(self, reporting, lease, ledger);
    this.teller = new CountTeller(self, incarnation, reporting, counter, ledger);
  }

  void start() {
    tick();
  }

  private void tick() {
    Moment now = updateClock();
    ledger.setCurrentWindow(windows.windowAt(now.trueNanos()));
    candidates = candidates(now.monotonicNanos());
    if (teller.isDue(now)) {
      tell(teller.tell(lease.highestFence(), now));
    }
    proceed();
    reactor.delayBackground(TICK_MS, this::tick);
  }

  private void tell(List<ToldCounts> told) {
    for (ToldCounts counts : told) {
      byte[] datagram =
          EntryDatagram.newBuilder()
              .setUsageCounts(DutyMessages.encode(counts))
              .build()
              .toByteArray();
      countTargets().forEach(target -> network.send(datagram, target));
    }
  }

  private Moment updateClock() {
    long monotonic = System.nanoTime();
    long timeOfDay = timeOfDayNanos();
    clock.update(timeOfDay, monotonic);
    counter.setTrueTimeOffset(clock.offsetNanos());
    return new Moment(monotonic, timeOfDay, monotonic + clock.offsetNanos(), clock.isSettled());
  }

  private static long timeOfDayNanos() {
    return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
  }

  private List<VmId> candidates(long nowNanos) {
    List<DutyCandidates.Candidate> all = new ArrayList<>();
    // VMs of an earlier release have no time in their heartbeats and know nothing of the duty.
    members.aliveMembers(nowNanos).stream()
        .filter(EntryHeartbeat::hasTimeOfDayMillis)
        .forEach(member -> all.add(candidate(member)));
    if (!ownHeartbeat.getLeaving()) {
      all.add(
          new DutyCandidates.Candidate(
              self, ownHeartbeat.getServing(), ownHeartbeat.getStoreReached()));
    }
    return DutyCandidates.order(all);
  }

  private static DutyCandidates.Candidate candidate(EntryHeartbeat member) {
    return new DutyCandidates.Candidate(
        new VmId(member.getVm()), member.getServing(), member.getStoreReached());
  }

  /** Adds the fields of the duty to a heartbeat of this VM. */
  void addTo(EntryHeartbeat.Builder heartbeat) {
    ownHeartbeat = heartbeat.clone().build();
    if (heartbeat.getLeaving()) {
      lease.stop("leaving", System.nanoTime());
    }
    heartbeat.setTimeOfDayMillis(TimeUnit.NANOSECONDS.toMillis(timeOfDayNanos()));
    if (lease.holds()) {
      heartbeat.setDutyFence(lease.heldFence());
    }
  }

  /** Records the fields of the duty in another VM's heartbeat. */
  void heartbeatReceived(EntryHeartbeat heartbeat) {
    if (!heartbeat.hasTimeOfDayMillis() || heartbeat.getVm().equals(self.value())) {
      return;
    }
    VmId vm = new VmId(heartbeat.getVm());
    long now = System.nanoTime();
    clock.heard(vm, TimeUnit.MILLISECONDS.toNanos(heartbeat.getTimeOfDayMillis()), now);
    lease.heard(
        new HolderSigns.Heard(
            vm, heartbeat.getIncarnation(), heartbeat.getSequence(), heartbeat.getDutyFence()),
        now);
    logChange();
  }

  /** Records the counts that another VM told, its own or passed on ones. */
  void countsReceived(UsageCounts counts) {
    ledger.record(DutyMessages.decode(counts), System.nanoTime());
  }

  /** Records the copy of the row that its holder sent. */
  void copyReceived(DutyRow row) {
    lease.copyReceived(DutyMessages.decode(row), System.nanoTime());
    logChange();
  }

  /** Returns the addresses of the holder and of the first other candidate. */
  private List<InetSocketAddress> countTargets() {
    List<InetSocketAddress> targets = new ArrayList<>();
    lease.holder().flatMap(members::address).ifPresent(targets::add);
    firstCandidateBesidesHolder().flatMap(members::address).ifPresent(targets::add);
    return targets;
  }

  private Optional<VmId> firstCandidateBesidesHolder() {
    Optional<VmId> holder = lease.holder();
    return candidates.stream().filter(vm -> !holder.equals(Optional.of(vm))).findFirst();
  }

  /** Makes the next call that is due, if none is open. */
  private void proceed() {
    Moment now = updateClock();
    boolean othersReachStore =
        members.aliveMembers(now.monotonicNanos()).stream()
            .anyMatch(EntryHeartbeat::getStoreReached);
    DutySteps.Step step =
        steps.next(
            new DutySteps.Situation(
                now, ownHeartbeat.getLeaving() ? -1 : candidates.indexOf(self), othersReachStore));
    logChange();
    if (step instanceof DutySteps.Step.Read) {
      read(now);
    } else if (step instanceof DutySteps.Step.Write write) {
      write(write, now);
    } else if (step instanceof DutySteps.Step.Send send) {
      send(send.report());
    }
  }

  private void read(Moment issued) {
    store
        .read(SharedTable.DUTIES)
        .thenAccept(
            answer -> {
              Moment now = updateClock();
              metrics.countStoreCall(SharedTable.DUTIES, answer.isDone() ? "done" : "missed");
              if (answer instanceof StoreAnswer.Done<SharedStore.Rows> done) {
                steps.rowRead(decodeRow(done.value()), issued, now);
              } else {
                steps.readFailed(issued, now);
              }
              proceed();
            });
  }

  private DutyLease.ReadRow decodeRow(SharedStore.Rows rows) {
    rowEpoch = rows.epoch();
    Optional<SharedRow> found =
        rows.rows().stream().filter(row -> row.key().equals(KEY) && !row.isRemoved()).findFirst();
    if (found.isEmpty()) {
      return new DutyLease.ReadRow(0, Optional.empty(), true);
    }
    SharedRow row = found.get();
    try {
      DutyRecord record = DutyMessages.decode(DutyRow.parseFrom(row.value()));
      return new DutyLease.ReadRow(row.revision(), Optional.of(record), true);
    } catch (InvalidProtocolBufferException | RuntimeException e) {
      if (unreadableRevision != row.revision()) {
        unreadableRevision = row.revision();
        log.event("duty-unreadable", "revision", row.revision(), "reason", e.getMessage());
      }
      return new DutyLease.ReadRow(row.revision(), Optional.empty(), false);
    }
  }

  private void write(DutySteps.Step.Write write, Moment issued) {
    byte[] value = DutyMessages.encode(write.record()).toByteArray();
    store
        .write(KEY, value, write.expectedRevision(), rowEpoch)
        .thenAccept(
            answer -> {
              Moment now = updateClock();
              metrics.countStoreCall(SharedTable.DUTIES, answer.isDone() ? "done" : "missed");
              if (answer.isDone()) {
                steps.written(write.record(), issued, now);
                written(write);
              } else {
                steps.writeFailed(issued, now);
              }
              proceed();
            });
  }

  private void written(DutySteps.Step.Write write) {
    if (write.skippedWindows() > 0) {
      log.event(
          "usage-dropped",
          "windows",
          write.skippedWindows(),
          "before",
          write.record().frozenWindow());
    }
    logLateCounts(write.record());
    byte[] copy =
        EntryDatagram.newBuilder()
            .setDutyRow(DutyMessages.encode(write.record()))
            .build()
            .toByteArray();
    if (copy.length <= MAX_COPY_BYTES) {
      firstCandidateBesidesHolder()
          .flatMap(members::address)
          .ifPresent(target -> network.send(copy, target));
    }
  }

  /** Logs if counts that came after the window before was frozen are beyond the tolerance. */
  private void logLateCounts(DutyRecord record) {
    long window = record.frozenWindow() - 1;
    Map<CustomerId, Long> frozen = record.reports().get(window);
    if (frozen == null) {
      return;
    }
    long customersOff =
        ledger.total(window).entrySet().stream()
            .filter(
                told ->
                    Math.abs(told.getValue() - frozen.getOrDefault(told.getKey(), 0L))
                        > reporting.tolerance() * told.getValue())
            .count();
    if (customersOff > 0) {
      log.event("usage-counts-late", "window", window, "customers", customersOff);
    }
  }

  private void send(UsageReport report) {
    sink.send(report)
        .thenAccept(
            outcome -> {
              metrics.countUsageReport(outcome);
              if (outcome != lastOutcome) {
                lastOutcome = outcome;
                log.event(
                    "usage-reported",
                    "outcome",
                    outcome,
                    "window",
                    report.window(),
                    "fence",
                    report.fence(),
                    "customers",
                    report.counts().size());
              }
              steps.sent(report, outcome, updateClock());
              proceed();
            });
  }

  /** Logs and announces that this VM has taken the duty, or no longer holds it. */
  private void logChange() {
    if (heldBefore == lease.holds()) {
      return;
    }
    heldBefore = lease.holds();
    log.event(
        heldBefore ? "duty-taken" : "duty-ended",
        "duty",
        KEY.name(),
        "fence",
        lease.highestFence(),
        "why",
        lease.lastChange());
    network.sendHeartbeat();
  }
}
