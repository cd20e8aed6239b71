package org.toucanrack.bench.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.Rules;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.RegionId;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.control.ControlAction;
import org.toucanrack.internal.coordination.control.ControlCore;
import org.toucanrack.internal.coordination.control.ControlEvent;
import org.toucanrack.internal.coordination.control.OperatorRecordDecoder;
import org.toucanrack.internal.coordination.control.ResourceDrainer;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.internal.coordination.lease.ResourceAssignment;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.protocol.generated.Heartbeat;
import org.toucanrack.internal.protocol.generated.KnownRow;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.MemberInfoCodec;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;

/**
 * Measures how the cost of the control plane grows with the members and resources of a failure
 * domain, and prints one table row for each size. Times are CPU time of the measuring thread. The
 * measured relay has no store, so each tick queries all members, which is the most expensive case.
 */
public final class ControlCapacity {

  private static final long TICK_NANOS = 1_000_000_000L;
  private static final int WARM_UP_ROUNDS = 60;
  private static final int ROUNDS = 60;
  private static final FailureDomainId DOMAIN = new FailureDomainId("domain-00");

  private final ThreadMXBean threadBean = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private final int members;
  private final int resources;
  private final int otherDomains;

  private ControlCapacity(int members, int resources, int otherDomains) {
    this.members = members;
    this.resources = resources;
    this.otherDomains = otherDomains;
  }

  /** Measures all sizes and prints the table. */
  public static void main(String[] arguments) {
    System.out.println(
        "| Members | Resources | Other domains | Row bytes | Heartbeat bytes | Answer bytes"
            + " | Answers of relay, CPU us | Row to and from JSON, CPU us"
            + " | Snapshot after change, CPU us | Tick that asks all, CPU us |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int[] size :
        new int[][] {
          {4, 40, 5},
          {16, 40, 5},
          {64, 40, 5},
          {256, 40, 5},
          {16, 160, 5},
          {16, 640, 5},
          {64, 40, 0},
          {64, 40, 15},
          {64, 40, 46}
        }) {
      System.out.println(new ControlCapacity(size[0], size[1], size[2]).measure());
    }
  }

  private String measure() {
    RelayBenchmark benchmark = new RelayBenchmark();
    DomainRow row = row(DOMAIN);
    String encodedRow = DomainRowCodec.encode(row);
    benchmark.start(encodedRow);
    Cost cost = new Cost();
    for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
      if (round == WARM_UP_ROUNDS) {
        cost = new Cost();
      }
      benchmark.runRound(cost);
    }
    return "| %d | %d | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.1f |"
        .formatted(
            members,
            resources,
            otherDomains,
            encodedRow.getBytes(StandardCharsets.UTF_8).length,
            cost.heartbeatBytes,
            cost.answerBytes,
            cost.microsPerRound(cost.heartbeatNanos),
            cost.microsPerRound(cost.rowCodecNanos),
            cost.microsPerRound(cost.snapshotNanos),
            cost.microsPerRound(cost.tickNanos));
  }

  private DomainRow row(FailureDomainId domain) {
    Map<Incarnation, RowMember> all = new HashMap<>();
    List<Incarnation> ids = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      Member member = member(domain, i);
      ids.add(member.incarnation());
      all.put(member.incarnation(), new RowMember(member, 1, 1));
    }
    SortedMap<ResourceId, ResourceAssignment> assignments = new TreeMap<>();
    for (int i = 0; i < resources; i++) {
      ResourceId id = new ResourceId("server/%s-%05d".formatted(domain, i));
      assignments.put(
          id, new ResourceAssignment(Optional.of(ids.get(i % members)), i + 1, 0, false));
    }
    return new DomainRow(domain, 1, resources, 1, "op", all, assignments);
  }

  private static Member member(FailureDomainId domain, int index) {
    return new Member(
        new Incarnation(new VmId("vm-%05d".formatted(index)), 0x1234_5678_9abcL + index),
        domain,
        "10.0.%d.%d:8080".formatted(index / 250, index % 250),
        "10.%s.%d.%d:8090".formatted(domain.value().substring(7), index / 250, index % 250),
        false);
  }

  private static Configuration emptyConfiguration(long version) {
    Region region = new Region(new RegionId("north"), List.of(DOMAIN));
    Rules rules =
        new Rules(
            new ShiftRule(0.1, Duration.ofSeconds(10)),
            Duration.ofSeconds(10),
            Duration.ofSeconds(4));
    Deployment deployment =
        new Deployment(
            "capacity",
            List.of(region),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            rules);
    return new Configuration(version, deployment, List.of());
  }

  /** Accumulated CPU times and last message sizes of the measured rounds. */
  private static final class Cost {
    private int rounds;
    private long heartbeatNanos;
    private long rowCodecNanos;
    private long snapshotNanos;
    private long tickNanos;
    private int heartbeatBytes;
    private int answerBytes;

    private double microsPerRound(long nanos) {
      return nanos / 1_000.0 / rounds;
    }
  }

  /** Drives the control core of a relay without network or store. */
  private final class RelayBenchmark {
    private final ControlCore core =
        new ControlCore(
            member(DOMAIN, 0),
            Set.of(),
            (version, body) -> emptyConfiguration(version),
            ResourceDrainer.NONE,
            OperatorRecordDecoder.NONE,
            0);
    private long nowNanos;
    private long renewalCounter = 1;
    private long generation = 1;
    private long version = 1;

    private void start(String encodedRow) {
      handle(new ControlEvent.Tick());
      deliverRow(DOMAIN, encodedRow);
      for (int i = 1; i <= otherDomains; i++) {
        FailureDomainId other = new FailureDomainId("domain-%02d".formatted(i));
        Row row = new Row(DomainRow.key(other), DomainRowCodec.encode(row(other)), 1);
        handle(
            new ControlEvent.RowsListed(
                DomainRow.KEY_PREFIX, nowNanos, new StoreAnswer.Done<>(List.of(row))));
      }
    }

    private List<ControlAction> deliverRow(FailureDomainId domain, String encodedRow) {
      String key = DomainRow.key(domain);
      Row row = new Row(key, encodedRow, version);
      return handle(
          new ControlEvent.RowRead(
              new ControlAction.ReadRow(key, ControlAction.Purpose.ROW_REFRESH),
              nowNanos,
              new StoreAnswer.Done<>(Optional.of(row))));
    }

    private List<ControlAction> handle(ControlEvent event) {
      return core.handle(event, nowNanos);
    }

    private void runRound(Cost cost) {
      nowNanos += TICK_NANOS;
      renewalCounter++;
      cost.rounds++;
      cost.heartbeatNanos += cpuNanosOf(() -> handleHeartbeats(cost));
      cost.tickNanos += cpuNanosOf(() -> handle(new ControlEvent.Tick()));
      cost.snapshotNanos += measureChangedRow();
      DomainRow row = row(DOMAIN);
      cost.rowCodecNanos += cpuNanosOf(() -> DomainRowCodec.decode(DomainRowCodec.encode(row)));
    }

    private void handleHeartbeats(Cost cost) {
      for (int i = 1; i < members; i++) {
        Member sender = member(DOMAIN, i);
        PeerEnvelope message = heartbeat(sender);
        CompletableFuture<PeerEnvelope> reply = new CompletableFuture<>();
        List<ControlAction> actions =
            handle(new ControlEvent.PeerMessage(sender.incarnation(), message, reply));
        cost.heartbeatBytes = message.getSerializedSize();
        cost.answerBytes =
            actions.stream()
                .filter(ControlAction.Reply.class::isInstance)
                .mapToInt(action -> ((ControlAction.Reply) action).envelope().getSerializedSize())
                .sum();
      }
    }

    private PeerEnvelope heartbeat(Member sender) {
      Heartbeat.Builder heartbeat =
          Heartbeat.newBuilder()
              .setSender(MemberInfoCodec.encode(sender))
              .setRenewalCounter(renewalCounter)
              .setConfigurationVersion(1)
              .setStoreReachable(true)
              .setRowGeneration(generation)
              .setRowVersion(version)
              .setToRelay(true);
      for (int i = 1; i <= otherDomains; i++) {
        heartbeat.addKnownRows(
            KnownRow.newBuilder().setFailureDomain("domain-%02d".formatted(i)).setGeneration(1));
      }
      return PeerEnvelope.newBuilder().setHeartbeat(heartbeat).build();
    }

    private long measureChangedRow() {
      generation++;
      version++;
      DomainRow before = row(DOMAIN);
      DomainRow changed =
          new DomainRow(
              DOMAIN,
              generation,
              before.lastEpoch(),
              before.configurationVersion(),
              "op",
              before.members(),
              before.assignments());
      String encodedRow = DomainRowCodec.encode(changed);
      return cpuNanosOf(() -> deliverRow(DOMAIN, encodedRow));
    }

    private long cpuNanosOf(Runnable work) {
      long before = threadBean.getCurrentThreadCpuTime();
      work.run();
      return threadBean.getCurrentThreadCpuTime() - before;
    }
  }
}
