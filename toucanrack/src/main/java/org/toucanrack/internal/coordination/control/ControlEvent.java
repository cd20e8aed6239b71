package org.toucanrack.internal.coordination.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;
import org.toucanrack.platform.Transaction;
import org.toucanrack.platform.VmDirectory;

/**
 * An input of the control core. Times are monotonic and were read before the call that the event
 * completes. Immutable and thread-safe.
 */
public sealed interface ControlEvent {

  /** The period between two ticks has passed. */
  record Tick() implements ControlEvent {}

  /** A row was read, or the read failed. */
  record RowRead(ControlAction.ReadRow read, long startedAtNanos, StoreAnswer<Optional<Row>> answer)
      implements ControlEvent {}

  /** Rows were listed, or the call failed. */
  record RowsListed(String prefix, long startedAtNanos, StoreAnswer<List<Row>> answer)
      implements ControlEvent {}

  /** A commit was answered, or its outcome is unknown. */
  record Committed(Transaction transaction, long startedAtNanos, StoreAnswer<Void> answer)
      implements ControlEvent {}

  /** An object was read, or the read failed. */
  record ObjectRead(String name, StoreAnswer<Optional<byte[]>> answer) implements ControlEvent {}

  /** The platform's VMs were listed, or the call failed. */
  record VmsListed(long startedAtNanos, StoreAnswer<List<VmDirectory.ListedVm>> answer)
      implements ControlEvent {}

  /** A peer answered a request. */
  record PeerAnswered(PeerCall call, long sentAtNanos, PeerEnvelope answer)
      implements ControlEvent {}

  /** A request to a peer failed or timed out. */
  record PeerFailed(PeerCall call, long sentAtNanos) implements ControlEvent {}

  /** A peer sent a message; the reply is ignored for one-way messages. */
  record PeerMessage(
      Incarnation sender, PeerEnvelope message, CompletableFuture<PeerEnvelope> reply)
      implements ControlEvent {}

  /** A planned stop of this VM was requested. */
  record DrainRequested() implements ControlEvent {}
}
