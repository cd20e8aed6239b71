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
 * State machine of the control loop, which maps events to actions. Performs no I/O and reads no
 * clock, so that tests can simulate time and faults. Not thread-safe.
 */
public final class ControlCore {

  private static final Logger LOGGER = System.getLogger(ControlCore.class.getName());

  private final ControlState state;
  private final RowWriter writer;
  private final HeartbeatSender heartbeatSender;
  private final HeartbeatResponder heartbeatResponder;
  private final HeartbeatAnswerHandler answerHandler;
  private final OwnershipView ownershipView;
  private final HandoverTracker handoverTracker;
  private final StorePoller storePoller;
  private final OperatorRecordDecoder recordDecoder;
  private final ActionBuffer actions = new ActionBuffer();
  private boolean changed;

  /** Creates the core of a VM that has neither a configuration nor a domain row yet. */
  public ControlCore(
      Member self,
      Collection<String> seedPeers,
      ConfigurationDecoder decoder,
      ResourceDrainer drainer,
      OperatorRecordDecoder recordDecoder,
      long nowNanos) {
    this.state = new ControlState(self, decoder, nowNanos);
    this.writer = new RowWriter(state, nowNanos);
    this.heartbeatSender = new HeartbeatSender(state, writer, seedPeers, nowNanos);
    this.heartbeatResponder = new HeartbeatResponder(state, writer);
    this.answerHandler = new HeartbeatAnswerHandler(state);
    this.ownershipView = new OwnershipView(state);
    this.handoverTracker = new HandoverTracker(state, ownershipView, drainer);
    this.storePoller =
        new StorePoller(state, writer, new Random(self.incarnation().number()), nowNanos);
    this.recordDecoder = recordDecoder;
  }

  /** Returns the snapshot to publish before the first event. */
  public ControlSnapshot initialSnapshot(long nowNanos) {
    ownershipView.refresh(nowNanos);
    return snapshot(nowNanos);
  }

  /** Handles one event and returns the resulting actions in order. */
  public List<ControlAction> handle(ControlEvent event, long nowNanos) {
    if (state.leaseTracker.tick(nowNanos)) {
      LOGGER.log(Level.WARNING, "[lease] This process was paused; its resources are fenced.");
      state.failureDetector.resetObservations(nowNanos);
      writer.restart(nowNanos);
      changed = true;
    }
    dispatch(event, nowNanos);
    state.configuration.startFetchIfDue(nowNanos).ifPresent(actions::add);
    changed |= ownershipView.refresh(nowNanos);
    if (changed || event instanceof ControlEvent.Tick) {
      changed = false;
      actions.add(new ControlAction.Publish(snapshot(nowNanos)));
    }
    return actions.getAndClear();
  }

  private void dispatch(ControlEvent event, long nowNanos) {
    if (event instanceof ControlEvent.Tick) {
      onTick(nowNanos);
    } else if (event instanceof ControlEvent.RowRead read) {
      onRowRead(read, nowNanos);
    } else if (event instanceof ControlEvent.RowsListed listed) {
      onRowsListed(listed, nowNanos);
    } else if (event instanceof ControlEvent.Committed committed) {
      onCommitted(committed, nowNanos);
    } else if (event instanceof ControlEvent.ObjectRead read) {
      onObjectRead(read, nowNanos);
    } else if (event instanceof ControlEvent.VmsListed listed) {
      onVmsListed(listed);
    } else if (event instanceof ControlEvent.PeerAnswered answered) {
      onPeerAnswered(answered, nowNanos);
    } else if (event instanceof ControlEvent.PeerFailed failed) {
      onPeerFailed(failed, nowNanos);
    } else if (event instanceof ControlEvent.PeerMessage message) {
      onPeerMessage(message, nowNanos);
    } else if (event instanceof ControlEvent.DrainRequested) {
      state.startDraining();
      writer.observeMember(state.self(), 0, state.configuration.version(), nowNanos);
    }
  }

  private void onTick(long nowNanos) {
    Map<ResourceId, Long> released = handoverTracker.releasedResources(nowNanos);
    heartbeatSender.setReleased(released);
    released.forEach(writer::observeRelease);
    heartbeatSender.tick(nowNanos, actions);
    writer.tick(nowNanos, actions);
    storePoller.tick(nowNanos, actions);
    if (writer.isWriter(nowNanos)) {
      state
          .failureDetector
          .pollDueProbes(nowNanos)
          .forEach(
              id -> answerHandler.memberOf(id).map(ControlMessages::probe).ifPresent(actions::add));
    }
    state.readiness.evaluate(
        state.configuration.version(), state.store.hasFailed(), heartbeatSender.peerAddresses());
  }

  private void recordStoreAttempt(StoreAnswer<?> answer, long startedAtNanos) {
    boolean reached = !(answer instanceof StoreAnswer.Unknown<?>);
    state.store.recordAttempt(reached, startedAtNanos);
    state.leaseTracker.storeAttempted(reached, startedAtNanos);
  }

  private void onRowRead(ControlEvent.RowRead read, long nowNanos) {
    recordStoreAttempt(read.answer(), read.startedAtNanos());
    switch (read.read().purpose()) {
      case CURRENT_VERSION -> onCurrentVersionRead(read, nowNanos);
      case ROW_REFRESH -> {
        storePoller.onAnswer(read.read().key());
        updateOwnRow(read, nowNanos);
      }
      case ROW_UPDATE -> {
        updateOwnRow(read, nowNanos);
        writer.onRowRead(read.answer(), read.startedAtNanos(), nowNanos, actions);
      }
      default -> throw new IllegalStateException("unknown purpose " + read.read().purpose());
    }
  }

  private void onCurrentVersionRead(ControlEvent.RowRead read, long nowNanos) {
    storePoller.onAnswer(CurrentVersion.KEY);
    if (read.answer() instanceof StoreAnswer.Done<Optional<Row>> done && done.value().isPresent()) {
      CurrentVersion current = CurrentVersion.parse(done.value().get().value());
      state.configuration.observeStoreVersion(current, nowNanos);
      state.readiness.observeStoreVersion(current.version());
      state.keyFreshness.observeVersion(current.version(), read.startedAtNanos());
    }
  }

  private void updateOwnRow(ControlEvent.RowRead read, long nowNanos) {
    if (read.answer() instanceof StoreAnswer.Done<Optional<Row>> done && done.value().isPresent()) {
      Row row = done.value().get();
      DomainRow decoded = DomainRowCodec.decode(row.value());
      state.rows.update(decoded, row.value(), row.version(), nowNanos);
      renewLease(decoded, row.version(), read.startedAtNanos());
    }
  }

  private void renewLease(DomainRow row, long version, long startedAtNanos) {
    long counter = row.member(state.id()).map(RowMember::renewalCounter).orElse(0L);
    state.leaseTracker.rowSynchronized(startedAtNanos);
    state.leaseTracker.renewed(version, counter, startedAtNanos);
  }

  private void onRowsListed(ControlEvent.RowsListed listed, long nowNanos) {
    recordStoreAttempt(listed.answer(), listed.startedAtNanos());
    storePoller.onAnswer(listed.prefix());
    if (!(listed.answer() instanceof StoreAnswer.Done<List<Row>> done)) {
      if (listed.prefix().equals(DomainRow.KEY_PREFIX)) {
        storePoller.scheduleAllRowsRetry(nowNanos);
      }
    } else if (listed.prefix().equals(DomainRow.KEY_PREFIX)) {
      done.value().forEach(row -> updateOtherRow(row, nowNanos));
    } else {
      changed |= state.records.addListing(listed.prefix(), done.value(), listed.startedAtNanos());
    }
  }

  private void updateOtherRow(Row row, long nowNanos) {
    DomainRow decoded = DomainRowCodec.decode(row.value());
    if (!decoded.failureDomain().equals(state.domain())) {
      state.rows.update(decoded, row.value(), row.version(), nowNanos);
    }
  }

  private void onCommitted(ControlEvent.Committed committed, long nowNanos) {
    recordStoreAttempt(committed.answer(), committed.startedAtNanos());
    if (writer.onCommitted(committed, nowNanos)) {
      state
          .ownRow()
          .ifPresent(known -> renewLease(known.row(), known.version(), committed.startedAtNanos()));
    }
  }

  private void onObjectRead(ControlEvent.ObjectRead read, long nowNanos) {
    if (read.answer() instanceof StoreAnswer.Done<Optional<byte[]>> done
        && done.value().isPresent()) {
      if (state.configuration.onObjectRead(read.name(), done.value().get(), nowNanos)) {
        onAdopted(nowNanos);
      }
    } else {
      state.configuration.onFetchFailed();
    }
  }

  private void onAdopted(long nowNanos) {
    changed = true;
    state.keyFreshness.onAdopted(state.configuration.version());
    if (state.isRelay()) {
      PeerEnvelope announcement =
          ControlMessages.announcement(
              state.configuration.adopted().orElseThrow(), state.keyFreshness.ageMillis(nowNanos));
      state
          .localPeers()
          .forEach(
              member -> actions.add(new ControlAction.Send(member.peersAddress(), announcement)));
    }
  }

  private void onVmsListed(ControlEvent.VmsListed listed) {
    storePoller.onAnswer("vms");
    if (listed.answer() instanceof StoreAnswer.Done<List<VmDirectory.ListedVm>> done) {
      state.failureDetector.observeListing(
          done.value().stream().map(VmDirectory.ListedVm::vm).collect(Collectors.toSet()),
          listed.startedAtNanos());
      heartbeatSender.addDiscovered(
          done.value().stream().map(VmDirectory.ListedVm::peerAddress).toList());
    }
  }

  private void onPeerAnswered(ControlEvent.PeerAnswered answered, long nowNanos) {
    PeerEnvelope answer = answered.answer();
    switch (answered.call().kind()) {
      case HEARTBEAT ->
          answerHandler.onAnswer(
              answered.call(), answer.getHeartbeatAnswer(), answered.sentAtNanos(), nowNanos);
      case PROBE -> onProbeAnswered(answered, answer.getProbeAnswer(), nowNanos);
      case CONFIGURATION_FETCH -> onBodyReceived(answer.getConfigurationBody(), nowNanos);
      default -> throw new IllegalStateException("unknown call " + answered.call());
    }
  }

  private void onProbeAnswered(
      ControlEvent.PeerAnswered answered, ProbeAnswer answer, long nowNanos) {
    Incarnation target = answered.call().target().orElseThrow().incarnation();
    Incarnation sender = new Incarnation(new VmId(answer.getVm()), answer.getIncarnation());
    if (sender.equals(target)) {
      state.failureDetector.observeContact(target, nowNanos);
    } else {
      state.failureDetector.observeFailedProbe(target, answered.sentAtNanos());
    }
  }

  private void onBodyReceived(ConfigurationBody body, long nowNanos) {
    boolean adopted =
        state.configuration.onBodyReceived(
            body.getVersion(), body.getBodyHash(), body.getBody().toByteArray(), nowNanos);
    if (adopted) {
      onAdopted(nowNanos);
    }
  }

  private void onPeerFailed(ControlEvent.PeerFailed failed, long nowNanos) {
    switch (failed.call().kind()) {
      case HEARTBEAT -> answerHandler.onFailure(failed.call(), failed.sentAtNanos(), nowNanos);
      case PROBE ->
          failed
              .call()
              .target()
              .ifPresent(
                  target ->
                      state.failureDetector.observeFailedProbe(
                          target.incarnation(), failed.sentAtNanos()));
      case CONFIGURATION_FETCH -> state.configuration.onFetchFailed();
      default -> throw new IllegalStateException("unknown call " + failed.call());
    }
  }

  private void onPeerMessage(ControlEvent.PeerMessage message, long nowNanos) {
    PeerEnvelope envelope = message.message();
    switch (envelope.getBodyCase()) {
      case HEARTBEAT ->
          reply(message, heartbeatResponder.answer(envelope.getHeartbeat(), nowNanos));
      case PROBE -> reply(message, ControlMessages.probeAnswer(state.id(), mayDispatch(nowNanos)));
      case CONFIGURATION_FETCH ->
          reply(
              message,
              state
                  .configuration
                  .adopted()
                  .map(ControlMessages::body)
                  .orElseGet(ControlMessages::noBody));
      case CONFIGURATION_ANNOUNCEMENT ->
          onAnnounced(message.sender(), envelope.getConfigurationAnnouncement(), nowNanos);
      default ->
          LOGGER.log(Level.DEBUG, "[peer] Ignored a message of type {0}.", envelope.getBodyCase());
    }
  }

  private void reply(ControlEvent.PeerMessage message, PeerEnvelope answer) {
    actions.add(new ControlAction.Reply(message.reply(), answer));
  }

  /** An announcement is no proof of key freshness, since its age on arrival is unknown. */
  private void onAnnounced(
      Incarnation sender, ConfigurationAnnouncement announcement, long nowNanos) {
    answerHandler
        .memberOf(sender)
        .ifPresent(
            member ->
                state.configuration.observePeerVersion(
                    announcement.getVersion(),
                    PeerCall.to(PeerCall.Kind.CONFIGURATION_FETCH, member),
                    nowNanos));
  }

  private boolean mayDispatch(long nowNanos) {
    return leaseView(nowNanos).permitsDispatch(nowNanos);
  }

  private LeaseView leaseView(long nowNanos) {
    return state.leaseTracker.view(
        state.ownRow().map(known -> known.row().members().keySet()).orElse(java.util.Set.of()),
        nowNanos);
  }

  private ControlSnapshot snapshot(long nowNanos) {
    return new ControlSnapshot(
        state.self(),
        state.configuration.adopted().map(ConfigurationAdoption.Adopted::configuration),
        ownershipView.members(),
        ownershipView.ownership(),
        leaseView(nowNanos),
        state.keyFreshness.freshness(nowNanos),
        recordDecoder.splits(records("move/")),
        recordDecoder.versionShares(records("rollout/")),
        state.readiness.isReady(),
        ownershipView.usable());
  }

  /** Returns the operators' rows whose keys start with the prefix. */
  public List<Row> records(String prefix) {
    return state.records.rows().stream().filter(row -> row.key().startsWith(prefix)).toList();
  }

  /**
   * Returns whether this VM is draining and owns nothing that another member of its failure domain
   * can take over.
   */
  public boolean isDrained() {
    boolean othersCanTakeOver = state.localPeers().stream().anyMatch(member -> !member.draining());
    long owned = state.ownRow().map(known -> known.row().countOwnedBy(state.id())).orElse(0L);
    return state.self().draining() && (owned == 0 || !othersCanTakeOver);
  }
}
