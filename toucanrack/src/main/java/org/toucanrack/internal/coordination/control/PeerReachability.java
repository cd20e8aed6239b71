package org.toucanrack.internal.coordination.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks consecutive failures of calls by address, to find the addresses that are suspected of
 * being unreachable. Confined to the control thread.
 */
final class PeerReachability {

  private static final int FAILURES_UNTIL_SUSPECT = 2;

  private final Map<String, Contact> contacts = new HashMap<>();

  void recordAnswer(String address) {
    contacts.put(address, new Contact(0, 0));
  }

  void recordFailure(String address, long nowNanos) {
    Contact before = contacts.getOrDefault(address, new Contact(0, 0));
    contacts.put(address, new Contact(before.failures() + 1, nowNanos));
  }

  /** Returns whether the address has repeatedly failed to answer and has not answered since. */
  boolean isSuspect(String address) {
    return contacts.getOrDefault(address, new Contact(0, 0)).failures() >= FAILURES_UNTIL_SUSPECT;
  }

  boolean isRetryDue(String address, long nowNanos) {
    Contact contact = contacts.get(address);
    return contact != null
        && contact.failures() >= FAILURES_UNTIL_SUSPECT
        && nowNanos - contact.lastFailureNanos() >= ControlTimings.SUSPECT_RETRY_NANOS;
  }

  void forgetSuspicions() {
    contacts.clear();
  }

  private record Contact(int failures, long lastFailureNanos) {}
}
