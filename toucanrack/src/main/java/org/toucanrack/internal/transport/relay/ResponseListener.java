package org.toucanrack.internal.transport.relay;

import org.toucanrack.internal.protocol.message.HttpMessage;

/** Receives the outcome of one call, exactly once, unless the call is cancelled. */
public interface ResponseListener {

  /** Called with the complete response. */
  void onResponse(HttpMessage response);

  /**
   * Called when the call ends without a response.
   *
   * @param reason a short description for the log
   */
  void onFailure(CallFailure failure, String reason);

  /** Whether a failed call may have reached the server. */
  enum CallFailure {
    /** No byte was sent, so the request has not run. */
    NOT_SENT,
    /** The request was sent at least in part, so it may have run. */
    NO_ANSWER
  }
}
