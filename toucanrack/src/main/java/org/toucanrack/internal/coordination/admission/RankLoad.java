package org.toucanrack.internal.coordination.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The recent requests of one priority for a service. Counts fade, so that the latest requests weigh
 * most. Not thread-safe.
 */
final class RankLoad {

  /** Counts below this are forgotten, so that customers which have left cost no memory. */
  private static final double FORGOTTEN_BELOW = 0.05;

  /**
   * A customer is far above its equal part from this multiple on. With 1, a customer that is
   * usually twice as large as the mean was limited as well, and the service answered 0.05 less in
   * time.
   */
  private static final double MAX_EQUAL_PARTS = 2.5;

  /** Requests of each customer that were sent to servers. */
  private final Map<String, Double> sentByCustomer = new HashMap<>();

  private double sent;
  private double refused;
  private double late;

  void recordSent(String customer, boolean expectedLate) {
    sentByCustomer.merge(customer, 1.0, Double::sum);
    sent++;
    late += expectedLate ? 1 : 0;
  }

  void recordRefused() {
    refused++;
  }

  /** Returns the recent requests. */
  double requests() {
    return sent + refused;
  }

  /** Returns the recent requests that were refused or are not expected to be answered in time. */
  double troubled() {
    return refused + late;
  }

  /**
   * Returns whether a customer gets much more than its equal part of what is sent. A customer that
   * is alone is never above it.
   */
  boolean isFarAboveEqualPart(String customer) {
    int customers = sentByCustomer.size();
    // Of two or three customers, none can get 2.5 equal parts.
    double equalParts = Math.min(MAX_EQUAL_PARTS, (customers + 1) / 2.0);
    return customers > 1
        && sentByCustomer.getOrDefault(customer, 0.0) > equalParts * sent / customers;
  }

  /** Lets the counts fade. */
  void fade(double factor) {
    sent *= factor;
    refused *= factor;
    late *= factor;
    sentByCustomer.replaceAll((customer, count) -> count * factor);
    sentByCustomer.values().removeIf(count -> count < FORGOTTEN_BELOW);
  }
}
