package org.toucanrack.internal.transport.relay;

import org.toucanrack.internal.protocol.message.HttpMessage;

/** Handles the requests of a listener. Called on the listener's event loop. */
public interface RequestHandler {

  /** Handles one request, which is answered once through the exchange, now or later. */
  void handle(HttpMessage request, Exchange exchange);

  /** A request that waits for its answer. Confined to the listener's event loop. */
  interface Exchange {

    /** Answers the request; a second answer, or one to a caller that has left, is dropped. */
    void respond(HttpMessage response);

    /** Sets what to do when the caller closes its connection before the answer. */
    void onAbandoned(Runnable action);
  }
}
