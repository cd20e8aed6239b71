package org.toucanrack.internal.coordination.routing;

import org.toucanrack.ErrorCode;
import org.toucanrack.internal.state.Member;

/** Where to send one attempt of a request. */
public sealed interface Destination {

  /**
   * An owner that may take the attempt.
   *
   * @param owner the VM
   * @param onlyIfFree whether it may only use a free slot, as overflow traffic must not queue in
   *     another failure domain
   */
  record Owner(Member owner, boolean onlyIfFree) implements Destination {}

  /**
   * No owner may take the attempt; it was not run.
   *
   * @param code the reason
   * @param message the reason in words
   */
  record None(ErrorCode code, String message) implements Destination {}
}
