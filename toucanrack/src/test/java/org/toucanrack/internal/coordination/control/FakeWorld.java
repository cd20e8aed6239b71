package org.toucanrack.internal.coordination.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.VmDirectory;

/**
 * Simulates several control cores with a fake clock, store and network. Checks after each event
 * that at most one VM may dispatch to a backend server, and none while requests of another may
 * still run there.
 */
final class FakeWorld {

  static final long NANOS_PER_MILLISECOND = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;
  private static final long STORE_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND;

  final FakeStore store = new FakeStore();
  final Map<String, FakeVm> byAddress = new HashMap<>();
  final List<FakeVm> vms = new ArrayList<>();
  final Random random;
  private final PriorityQueue<Timed> queue = new PriorityQueue<>();
  private final Set<String> cutFromStore = new HashSet<>();
  private final Map<BackendServerId, LastUse> lastUses = new HashMap<>();
  private boolean storeDown;
  private double lostAnswerFraction;
  private boolean domainsPartitioned;
  private long now = 1_000 * NANOS_PER_SECOND;
  private long sequence;

  FakeWorld(long seed) {
    random = new Random(seed);
  }

  long now() {
    return now;
  }

  long inFlightNanos() {
    return random.nextLong(3 * NANOS_PER_SECOND);
  }

  FakeVm start(String name, long incarnation, String domain, String address, String... peers) {
    FakeVm vm = new FakeVm(this, name, incarnation, domain, address, List.of(peers));
    vms.add(vm);
    byAddress.put(address, vm);
    tick(vm);
    return vm;
  }

  void kill(FakeVm vm) {
    vm.alive = false;
    byAddress.remove(vm.member.peersAddress(), vm);
  }

  void pause(FakeVm vm) {
    vm.paused = true;
  }

  void resume(FakeVm vm) {
    vm.paused = false;
    while (vm.alive && !vm.mailbox.isEmpty()) {
      deliver(vm, vm.mailbox.poll());
    }
  }

  void storeDown(boolean down) {
    storeDown = down;
  }

  void loseAnswers(double fraction) {
    lostAnswerFraction = fraction;
  }

  void cutFromStore(String domain, boolean cut) {
    if (cut) {
      cutFromStore.add(domain);
    } else {
      cutFromStore.remove(domain);
    }
  }

  void domainsPartitioned(boolean partitioned) {
    domainsPartitioned = partitioned;
  }

  void runSeconds(double seconds) {
    long end = now + (long) (seconds * NANOS_PER_SECOND);
    while (!queue.isEmpty() && queue.peek().atNanos() - end <= 0) {
      Timed next = queue.poll();
      now = Math.max(now, next.atNanos());
      next.task().run();
      checkDispatch();
    }
    now = end;
  }

  void later(double seconds, Runnable task) {
    after((long) (seconds * NANOS_PER_SECOND), task);
  }

  private void after(long nanos, Runnable task) {
    queue.add(new Timed(now + nanos, sequence++, task));
  }

  private void tick(FakeVm vm) {
    if (!vm.alive) {
      return;
    }
    if (!vm.paused || vm.mailbox.stream().noneMatch(ControlEvent.Tick.class::isInstance)) {
      deliver(vm, new ControlEvent.Tick());
    }
    after(200 * NANOS_PER_MILLISECOND, () -> tick(vm));
  }

  void deliver(FakeVm vm, ControlEvent event) {
    if (!vm.alive) {
      return;
    }
    if (vm.paused) {
      vm.mailbox.add(event);
      return;
    }
    for (ControlAction action : vm.core.handle(event, now)) {
      perform(vm, action);
    }
  }

  private void perform(FakeVm vm, ControlAction action) {
    if (action instanceof ControlAction.ReadRow read) {
      call(
          vm,
          () -> store.get(read.key()),
          (at, answer) -> new ControlEvent.RowRead(read, at, answer));
    } else if (action instanceof ControlAction.ListRows list) {
      call(
          vm,
          () -> store.list(list.prefix()),
          (at, answer) -> new ControlEvent.RowsListed(list.prefix(), at, answer));
    } else if (action instanceof ControlAction.Commit commit) {
      call(
          vm,
          () -> store.commit(commit.transaction()),
          (at, answer) -> new ControlEvent.Committed(commit.transaction(), at, answer));
    } else if (action instanceof ControlAction.ReadObject read) {
      call(
          vm,
          () -> store.object(read.name()),
          (at, answer) -> new ControlEvent.ObjectRead(read.name(), answer));
    } else if (action instanceof ControlAction.ListVms) {
      call(vm, this::listing, ControlEvent.VmsListed::new);
    } else if (action instanceof ControlAction.Request request) {
      request(vm, request);
    } else if (action instanceof ControlAction.Send send) {
      transmit(vm, send.address(), send.envelope(), new CompletableFuture<>());
    } else if (action instanceof ControlAction.Reply reply) {
      reply.reply().complete(reply.envelope());
    } else if (action instanceof ControlAction.Publish publish) {
      vm.snapshot = publish.snapshot();
    }
  }

  private StoreAnswer<List<VmDirectory.ListedVm>> listing() {
    return new StoreAnswer.Done<>(
        byAddress.values().stream()
            .map(
                vm ->
                    new VmDirectory.ListedVm(
                        vm.member.incarnation().vm(), vm.member.peersAddress(), false))
            .toList());
  }

  /** The call takes effect after one delay; its answer arrives after another or is lost. */
  private <T> void call(
      FakeVm vm,
      Supplier<StoreAnswer<T>> operation,
      BiFunction<Long, StoreAnswer<T>, ControlEvent> event) {
    long startedAt = now;
    StoreAnswer<T> unknown = new StoreAnswer.Unknown<>("no answer");
    if (isStoreCut(vm)) {
      after(STORE_TIMEOUT_NANOS, () -> deliver(vm, event.apply(startedAt, unknown)));
      return;
    }
    after(
        delay(20),
        () -> {
          StoreAnswer<T> answer = isStoreCut(vm) ? unknown : operation.get();
          boolean lost = isStoreCut(vm) || random.nextDouble() < lostAnswerFraction;
          after(
              lost ? STORE_TIMEOUT_NANOS : delay(20),
              () -> deliver(vm, event.apply(startedAt, lost ? unknown : answer)));
        });
  }

  private boolean isStoreCut(FakeVm vm) {
    return storeDown || cutFromStore.contains(vm.member.failureDomain().value());
  }

  private void request(FakeVm vm, ControlAction.Request request) {
    long sentAt = now;
    CompletableFuture<PeerEnvelope> reply = new CompletableFuture<>();
    boolean[] done = {false};
    reply.thenAccept(
        answer ->
            after(
                delay(5),
                () -> {
                  if (!done[0] && isReachable(vm, byAddress.get(request.call().address()))) {
                    done[0] = true;
                    deliver(vm, new ControlEvent.PeerAnswered(request.call(), sentAt, answer));
                  }
                }));
    after(
        request.timeoutMillis() * NANOS_PER_MILLISECOND,
        () -> {
          if (!done[0]) {
            done[0] = true;
            deliver(vm, new ControlEvent.PeerFailed(request.call(), sentAt));
          }
        });
    transmit(vm, request.call().address(), request.envelope(), reply);
  }

  private void transmit(
      FakeVm from, String address, PeerEnvelope envelope, CompletableFuture<PeerEnvelope> reply) {
    after(
        delay(5),
        () -> {
          FakeVm to = byAddress.get(address);
          if (isReachable(from, to)) {
            deliver(to, new ControlEvent.PeerMessage(from.member.incarnation(), envelope, reply));
          }
        });
  }

  private boolean isReachable(FakeVm from, FakeVm to) {
    return to != null
        && to.alive
        && (!domainsPartitioned || from.member.failureDomain().equals(to.member.failureDomain()));
  }

  private long delay(long millis) {
    return 1 + random.nextLong(2 * millis * NANOS_PER_MILLISECOND);
  }

  DomainRow row(String domain) {
    Optional<Row> row =
        ((StoreAnswer.Done<Optional<Row>>) store.get(DomainRow.KEY_PREFIX + domain)).value();
    return DomainRowCodec.decode(row.orElseThrow().value());
  }

  Collection<FakeVm> dispatchersTo(BackendServerId server) {
    return vms.stream().filter(vm -> vm.runs() && vm.snapshot.mayDispatchTo(server, now)).toList();
  }

  private void checkDispatch() {
    for (FakeVm vm : vms) {
      if (vm.runs()) {
        vm.snapshot.usable().backendServers().keySet().stream()
            .filter(server -> vm.snapshot.mayDispatchTo(server, now))
            .forEach(server -> checkUse(vm, server));
      }
    }
  }

  private void checkUse(FakeVm vm, BackendServerId server) {
    LastUse last = lastUses.get(server);
    if (last != null && last.vm() != vm) {
      Long released = last.vm().drainedEpochs.get(ResourceId.of(server));
      boolean handedOver = released != null && released == last.epoch();
      long quietNanos = now - last.atNanos();
      if (!handedOver && quietNanos < FakeConfiguration.TIMEOUT_MILLIS * NANOS_PER_MILLISECOND) {
        throw new AssertionError(
            "%s dispatches to %s, %d ms after %s"
                .formatted(
                    vm.member.incarnation(),
                    server,
                    quietNanos / NANOS_PER_MILLISECOND,
                    last.vm().member.incarnation()));
      }
    }
    long epoch = vm.snapshot.usable().backendServers().get(server).epoch();
    lastUses.put(server, new LastUse(vm, epoch, now));
  }

  private record LastUse(FakeVm vm, long epoch, long atNanos) {}

  private record Timed(long atNanos, long order, Runnable task) implements Comparable<Timed> {
    @Override
    public int compareTo(Timed other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
