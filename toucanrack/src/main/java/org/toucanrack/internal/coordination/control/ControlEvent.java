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
 * What the control loop reacts to. Times are monotonic and were read before the call was made.
 * Immutable and thread-safe.
 */
public sealed interface ControlEvent {

  /** Time has passed. */
  record Tick() implements ControlEvent {}

  /** A row was read, or the read failed. */
  record RowRead(ControlAction.ReadRow read, long startedAtNanos, StoreAnswer<Optional<Row>> answer)
      implements ControlEvent {}

  /** Rows were listed, or the call failed. */
  record RowsListed(String prefix, long startedAtNanos, StoreAnswer<List<Row>> answer)
      implements ControlEvent {}

  /** A transaction has an answer. */
  record Committed(Transaction transaction, long startedAtNanos, StoreAnswer<Void> answer)
      implements ControlEvent {}

  /** An object was read, or the read failed. */
  record ObjectRead(String name, StoreAnswer<Optional<byte[]>> answer) implements ControlEvent {}

  /** The platform's VMs were listed, or the call failed. */
  record VmsListed(long startedAtNanos, StoreAnswer<List<VmDirectory.Listing>> answer)
      implements ControlEvent {}

  /** A peer answered a request. */
  record PeerAnswered(PeerCall call, long sentAtNanos, PeerEnvelope answer)
      implements ControlEvent {}

  /** A request to a peer has no answer. */
  record PeerFailed(PeerCall call, long sentAtNanos) implements ControlEvent {}

  /** A peer sent a message; the reply is ignored for messages without answer. */
  record PeerMessage(
      Incarnation sender, PeerEnvelope message, CompletableFuture<PeerEnvelope> reply)
      implements ControlEvent {}

  /** This VM is to stop as planned. */
  record DrainRequested() implements ControlEvent {}
}
