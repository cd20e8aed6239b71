package org.toucanrack.internal.coordination.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VmId;
import org.toucanrack.internal.coordination.lease.DomainRow;
import org.toucanrack.internal.coordination.lease.DomainRowCodec;
import org.toucanrack.internal.coordination.lease.ResourceId;
import org.toucanrack.internal.coordination.lease.RowMember;
import org.toucanrack.internal.protocol.generated.ConfigurationAnnouncement;
import org.toucanrack.internal.protocol.generated.ConfigurationBody;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.ProbeAnswer;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.LeaseView;
import org.toucanrack.internal.state.Member;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.VmDirectory;

/**
 * All decisions of the control loop: takes events and returns actions. Performs no I/O and reads no
 * clock. Not thread-safe.
 */
public final class ControlCore {

  private static final Logger LOGGER = System.getLogger(ControlCore.class.getName());

  private final ControlState state;
  private final RowWriter writer;
  private final HeartbeatRounds rounds;
  private final HeartbeatReplies replies;
  private final HeartbeatAnswers answers;
  private final OwnershipView view;
  private final HandoverWatch handovers;
  private final StorePolling polling;
  private final SnapshotParts parts;
  private final Actions actions = new Actions();
  private boolean changed;

  /** Creates the core of a VM that knows nothing yet. */
  public ControlCore(
      Member self,
      Collection<String> firstPeers,
      ConfigurationDecoder decoder,
      ResourceUse use,
      SnapshotParts parts,
      long nowNanos) {
    this.state = new ControlState(self, decoder, nowNanos);
    this.writer = new RowWriter(state, nowNanos);
    this.rounds = new HeartbeatRounds(state, writer, firstPeers, nowNanos);
    this.replies = new HeartbeatReplies(state, writer);
    this.answers = new HeartbeatAnswers(state);
    this.view = new OwnershipView(state);
    this.handovers = new HandoverWatch(state, view, use);
    this.polling =
        new StorePolling(state, writer, new Random(self.incarnation().number()), nowNanos);
    this.parts = parts;
  }

  /** Returns the snapshot of a VM that knows nothing yet. */
  public ControlSnapshot firstSnapshot(long nowNanos) {
    view.refresh(nowNanos);
    return snapshot(nowNanos);
  }

  /** Handles one event and returns what to do, in order. */
  public List<ControlAction> handle(ControlEvent event, long nowNanos) {
    if (state.lease.tick(nowNanos)) {
      LOGGER.log(Level.WARNING, "[lease] This process was paused; its resources are fenced.");
      state.judge.resetObservations(nowNanos);
      writer.restart(nowNanos);
      changed = true;
    }
    dispatch(event, nowNanos);
    state.configuration.dueFetch(nowNanos).ifPresent(actions::add);
    changed |= view.refresh(nowNanos);
    if (changed || event instanceof ControlEvent.Tick) {
      changed = false;
      actions.add(new ControlAction.Publish(snapshot(nowNanos)));
    }
    return actions.take();
  }

  private void dispatch(ControlEvent event, long nowNanos) {
    if (event instanceof ControlEvent.Tick) {
      tick(nowNanos);
    } else if (event instanceof ControlEvent.RowRead read) {
      rowRead(read, nowNanos);
    } else if (event instanceof ControlEvent.RowsListed listed) {
      rowsListed(listed, nowNanos);
    } else if (event instanceof ControlEvent.Committed committed) {
      committed(committed, nowNanos);
    } else if (event instanceof ControlEvent.ObjectRead read) {
      objectRead(read, nowNanos);
    } else if (event instanceof ControlEvent.VmsListed listed) {
      vmsListed(listed);
    } else if (event instanceof ControlEvent.PeerAnswered answered) {
      peerAnswered(answered, nowNanos);
    } else if (event instanceof ControlEvent.PeerFailed failed) {
      peerFailed(failed, nowNanos);
    } else if (event instanceof ControlEvent.PeerMessage message) {
      peerMessage(message, nowNanos);
    } else if (event instanceof ControlEvent.DrainRequested) {
      state.startDraining();
      writer.heard(state.self(), 0, state.configuration.version(), nowNanos);
    }
  }

  private void tick(long nowNanos) {
    Map<ResourceId, Long> released = handovers.released(nowNanos);
    rounds.setReleased(released);
    released.forEach(writer::released);
    rounds.tick(nowNanos, actions);
    writer.tick(nowNanos, actions);
    polling.tick(nowNanos, actions);
    if (writer.isWriter(nowNanos)) {
      state
          .judge
          .pollDueProbes(nowNanos)
          .forEach(id -> answers.memberOf(id).map(ControlMessages::probe).ifPresent(actions::add));
    }
    state.readiness.evaluate(
        state.configuration.version(), state.store.hasFailed(), rounds.peersToAsk());
  }

  private void storeAttempted(StoreAnswer<?> answer, long startedAtNanos) {
    boolean reached = !(answer instanceof StoreAnswer.Unknown<?>);
    state.store.attempted(reached, startedAtNanos);
    state.lease.storeAttempted(reached, startedAtNanos);
  }

  private void rowRead(ControlEvent.RowRead read, long nowNanos) {
    storeAttempted(read.answer(), read.startedAtNanos());
    switch (read.read().purpose()) {
      case CURRENT_VERSION -> currentVersionRead(read, nowNanos);
      case LEARN -> {
        polling.answered(read.read().key());
        learnOwnRow(read, nowNanos);
      }
      case WRITE -> {
        learnOwnRow(read, nowNanos);
        writer.read(read.answer(), read.startedAtNanos(), nowNanos, actions);
      }
      default -> throw new IllegalStateException("unknown purpose " + read.read().purpose());
    }
  }

  private void currentVersionRead(ControlEvent.RowRead read, long nowNanos) {
    polling.answered(CurrentVersion.KEY);
    if (read.answer() instanceof StoreAnswer.Done<Optional<Row>> done && done.value().isPresent()) {
      CurrentVersion current = CurrentVersion.parse(done.value().get().value());
      state.configuration.storeHas(current, nowNanos);
      state.readiness.storeHas(current.version());
      state.proof.saw(current.version(), read.startedAtNanos());
    }
  }

  private void learnOwnRow(ControlEvent.RowRead read, long nowNanos) {
    if (read.answer() instanceof StoreAnswer.Done<Optional<Row>> done && done.value().isPresent()) {
      Row row = done.value().get();
      DomainRow decoded = DomainRowCodec.decode(row.value());
      state.rows.learn(decoded, row.value(), row.version(), nowNanos);
      renewed(decoded, row.version(), read.startedAtNanos());
    }
  }

  private void renewed(DomainRow row, long version, long startedAtNanos) {
    long counter = row.member(state.id()).map(RowMember::renewalCounter).orElse(0L);
    state.lease.rowSynchronized(startedAtNanos);
    state.lease.renewed(version, counter, startedAtNanos);
  }

  private void rowsListed(ControlEvent.RowsListed listed, long nowNanos) {
    storeAttempted(listed.answer(), listed.startedAtNanos());
    polling.answered(listed.prefix());
    if (!(listed.answer() instanceof StoreAnswer.Done<List<Row>> done)) {
      if (listed.prefix().equals(DomainRow.KEY_PREFIX)) {
        polling.retryAllRows(nowNanos);
      }
    } else if (listed.prefix().equals(DomainRow.KEY_PREFIX)) {
      done.value().forEach(row -> learnOtherRow(row, nowNanos));
    } else {
      changed |= state.records.listed(listed.prefix(), done.value(), listed.startedAtNanos());
    }
  }

  private void learnOtherRow(Row row, long nowNanos) {
    DomainRow decoded = DomainRowCodec.decode(row.value());
    if (!decoded.failureDomain().equals(state.domain())) {
      state.rows.learn(decoded, row.value(), row.version(), nowNanos);
    }
  }

  private void committed(ControlEvent.Committed committed, long nowNanos) {
    storeAttempted(committed.answer(), committed.startedAtNanos());
    if (writer.committed(committed, nowNanos)) {
      state
          .ownRow()
          .ifPresent(known -> renewed(known.row(), known.version(), committed.startedAtNanos()));
    }
  }

  private void objectRead(ControlEvent.ObjectRead read, long nowNanos) {
    if (read.answer() instanceof StoreAnswer.Done<Optional<byte[]>> done
        && done.value().isPresent()) {
      if (state.configuration.objectArrived(read.name(), done.value().get(), nowNanos)) {
        adopted(nowNanos);
      }
    } else {
      state.configuration.fetchFailed();
    }
  }

  private void adopted(long nowNanos) {
    changed = true;
    state.proof.adopted(state.configuration.version());
    if (state.isRelay()) {
      PeerEnvelope announcement =
          ControlMessages.announcement(
              state.configuration.adopted().orElseThrow(), state.proof.ageMillis(nowNanos));
      state
          .neighbours()
          .forEach(
              member -> actions.add(new ControlAction.Send(member.peersAddress(), announcement)));
    }
  }

  private void vmsListed(ControlEvent.VmsListed listed) {
    polling.answered("vms");
    if (listed.answer() instanceof StoreAnswer.Done<List<VmDirectory.Listing>> done) {
      state.judge.observeListing(
          done.value().stream().map(VmDirectory.Listing::vm).collect(Collectors.toSet()),
          listed.startedAtNanos());
      rounds.discover(done.value().stream().map(VmDirectory.Listing::peerAddress).toList());
    }
  }

  private void peerAnswered(ControlEvent.PeerAnswered answered, long nowNanos) {
    PeerEnvelope answer = answered.answer();
    switch (answered.call().kind()) {
      case HEARTBEAT ->
          answers.answered(
              answered.call(), answer.getHeartbeatAnswer(), answered.sentAtNanos(), nowNanos);
      case PROBE -> probeAnswered(answered, answer.getProbeAnswer(), nowNanos);
      case CONFIGURATION_FETCH -> bodyArrived(answer.getConfigurationBody(), nowNanos);
      default -> throw new IllegalStateException("unknown call " + answered.call());
    }
  }

  private void probeAnswered(
      ControlEvent.PeerAnswered answered, ProbeAnswer answer, long nowNanos) {
    Incarnation target = answered.call().target().orElseThrow().incarnation();
    Incarnation sender = new Incarnation(new VmId(answer.getVm()), answer.getIncarnation());
    if (sender.equals(target)) {
      state.judge.observeContact(target, nowNanos);
    } else {
      state.judge.observeFailedProbe(target, answered.sentAtNanos());
    }
  }

  private void bodyArrived(ConfigurationBody body, long nowNanos) {
    boolean adopted =
        state.configuration.bodyArrived(
            body.getVersion(), body.getBodyHash(), body.getBody().toByteArray(), nowNanos);
    if (adopted) {
      adopted(nowNanos);
    }
  }

  private void peerFailed(ControlEvent.PeerFailed failed, long nowNanos) {
    switch (failed.call().kind()) {
      case HEARTBEAT -> answers.failed(failed.call(), failed.sentAtNanos(), nowNanos);
      case PROBE ->
          failed
              .call()
              .target()
              .ifPresent(
                  target ->
                      state.judge.observeFailedProbe(target.incarnation(), failed.sentAtNanos()));
      case CONFIGURATION_FETCH -> state.configuration.fetchFailed();
      default -> throw new IllegalStateException("unknown call " + failed.call());
    }
  }

  private void peerMessage(ControlEvent.PeerMessage message, long nowNanos) {
    PeerEnvelope envelope = message.message();
    switch (envelope.getBodyCase()) {
      case HEARTBEAT -> reply(message, replies.answer(envelope.getHeartbeat(), nowNanos));
      case PROBE -> reply(message, ControlMessages.probeAnswer(state.id(), mayUse(nowNanos)));
      case CONFIGURATION_FETCH ->
          reply(
              message,
              state
                  .configuration
                  .adopted()
                  .map(ControlMessages::body)
                  .orElseGet(ControlMessages::noBody));
      case CONFIGURATION_ANNOUNCEMENT ->
          announced(message.sender(), envelope.getConfigurationAnnouncement(), nowNanos);
      default -> LOGGER.log(Level.DEBUG, "[peer] Ignored {0}.", envelope.getBodyCase());
    }
  }

  private void reply(ControlEvent.PeerMessage message, PeerEnvelope answer) {
    actions.add(new ControlAction.Reply(message.reply(), answer));
  }

  /** An announcement proves nothing about keys, since its age on arrival is not known. */
  private void announced(Incarnation sender, ConfigurationAnnouncement news, long nowNanos) {
    answers
        .memberOf(sender)
        .ifPresent(
            member ->
                state.configuration.peerHas(
                    news.getVersion(),
                    PeerCall.to(PeerCall.Kind.CONFIGURATION_FETCH, member),
                    nowNanos));
  }

  private boolean mayUse(long nowNanos) {
    return leaseView(nowNanos).permitsDispatch(nowNanos);
  }

  private LeaseView leaseView(long nowNanos) {
    return state.lease.view(
        state.ownRow().map(known -> known.row().members().keySet()).orElse(java.util.Set.of()),
        nowNanos);
  }

  private ControlSnapshot snapshot(long nowNanos) {
    return new ControlSnapshot(
        state.self(),
        state.configuration.adopted().map(ConfigurationAdoption.Adopted::configuration),
        view.members(),
        view.ownership(),
        leaseView(nowNanos),
        state.proof.freshness(nowNanos),
        parts.splits(records("move/")),
        parts.versionShares(records("rollout/")),
        state.readiness.isReady(),
        view.usable());
  }

  /** Returns the operators' records with this prefix. */
  public List<Row> records(String prefix) {
    return state.records.rows().stream().filter(row -> row.key().startsWith(prefix)).toList();
  }

  /** Returns whether this VM drains and has handed over all that others can take. */
  public boolean isDrained() {
    boolean othersTake = state.neighbours().stream().anyMatch(member -> !member.draining());
    long owned = state.ownRow().map(known -> known.row().countOwnedBy(state.id())).orElse(0L);
    return state.self().draining() && (owned == 0 || !othersTake);
  }
}
