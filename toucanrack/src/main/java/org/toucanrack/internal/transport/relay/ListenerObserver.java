package org.toucanrack.internal.transport.relay;

import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * Observes the requests that wait behind unanswered ones of their connection, and what the listener
 * itself refuses or closes. Called on the listener's event loop.
 */
public interface ListenerObserver {

  /** Observes nothing. */
  ListenerObserver NONE = new ListenerObserver() {};

  /** Called when a request is started before the earlier ones of its connection are answered. */
  default void startedBehindOthers(HttpMessage request) {}

  /** Called when a request was read that must not start before earlier ones are answered. */
  default void waitsForOthers(HttpMessage request) {}

  /** Called when a response is written that was held behind those of earlier requests. */
  default void responseHeld(HttpMessage request, long heldMillis) {}

  /** Called when a response was replaced by 502, since unsent responses use up their memory. */
  default void responseDropped(HttpMessage request) {}

  /** Called when a running request was cancelled behind a response that closes the connection. */
  default void cancelledBehindClose(HttpMessage request) {}

  /** Called when a request is refused as not run since it does not fit into memory. */
  default void refusedForMemory(HttpMessage head) {}

  /** Called when a connection is closed whose caller accepts no answers, to free their memory. */
  default void stalledCallerClosed(long unsentBytes, long stalledMillis) {}
}
