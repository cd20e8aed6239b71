package org.toucanrack.internal.transport.relay;

import org.toucanrack.internal.protocol.message.HttpMessage;

/** Handles the requests of a listener. Called on the listener's event loop. */
public interface RequestHandler {

  /**
   * Handles one request and responds to it once through the exchange, before or after returning.
   * Further requests of the connection may be handled before the response; the responses are sent
   * in the order of the requests.
   */
  void handle(HttpMessage request, Exchange exchange);

  /** A request that awaits its response. Confined to the listener's event loop. */
  interface Exchange {

    /**
     * Sends the response. It is dropped if the request already has one or its connection is closed.
     */
    void respond(HttpMessage response);

    /** Sets the action to run if the connection closes before the response is written. */
    void onAbandoned(Runnable action);
  }
}
