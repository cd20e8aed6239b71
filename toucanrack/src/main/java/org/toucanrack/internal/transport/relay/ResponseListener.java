package org.toucanrack.internal.transport.relay;

import org.toucanrack.internal.protocol.message.HttpMessage;

/** Receives the outcome of one call, exactly once, unless the call is cancelled. */
public interface ResponseListener {

  /** The complete answer to this call. */
  void onResponse(HttpMessage response);

  /** There will be no answer. */
  void onFailure(CallFailure failure, String reason);

  /** How a call without an answer ended. */
  enum CallFailure {
    /** No byte was sent, so the request has not run. */
    NOT_SENT,
    /** The request was sent, in part at least. */
    NO_ANSWER
  }
}
