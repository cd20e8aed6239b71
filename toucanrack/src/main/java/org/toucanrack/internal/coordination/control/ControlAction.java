package org.toucanrack.internal.coordination.control;

import java.util.concurrent.CompletableFuture;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.platform.Transaction;

/**
 * An action that the control core requests and the control plane executes. Immutable and
 * thread-safe.
 */
public sealed interface ControlAction {

  /** Reads a row of the table. */
  record ReadRow(String key, Purpose purpose) implements ControlAction {}

  /** Lists rows of the table. */
  record ListRows(String prefix) implements ControlAction {}

  /** Commits a transaction. */
  record Commit(Transaction transaction) implements ControlAction {}

  /** Reads an object. */
  record ReadObject(String name) implements ControlAction {}

  /** Lists the platform's VMs. */
  record ListVms() implements ControlAction {}

  /** Sends a request to a peer. */
  record Request(PeerCall call, PeerEnvelope envelope, long timeoutMillis)
      implements ControlAction {}

  /** Sends a one-way message to a peer. */
  record Send(String address, PeerEnvelope envelope) implements ControlAction {}

  /** Answers a request of a peer. */
  record Reply(CompletableFuture<PeerEnvelope> reply, PeerEnvelope envelope)
      implements ControlAction {}

  /** Publishes a snapshot to the listeners. */
  record Publish(ControlSnapshot snapshot) implements ControlAction {}

  /** Purpose of a row read, which decides how its answer is handled. */
  enum Purpose {
    /** The answer is the base of the next conditional write of the domain row. */
    ROW_UPDATE,
    /** The answer refreshes this VM's copy of the domain row. */
    ROW_REFRESH,
    /** The answer gives the current version of the configuration. */
    CURRENT_VERSION
  }
}
