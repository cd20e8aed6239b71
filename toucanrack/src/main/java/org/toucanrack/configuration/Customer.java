package org.toucanrack.configuration;

import org.toucanrack.id.CustomerId;

/**
 * A customer with its limits, which apply to all VMs together. Immutable and thread-safe.
 *
 * @param id the customer
 * @param requestsPerSecond the sustained request rate
 * @param burst number of requests accepted at once beyond the rate
 * @param weight share of the capacity under overload, relative to the other customers
 */
public record Customer(CustomerId id, double requestsPerSecond, double burst, double weight) {

  /** Rejects limits that are not positive. */
  public Customer {
    if (requestsPerSecond <= 0 || burst < 1 || weight <= 0) {
      throw new IllegalArgumentException(
          "customer " + id + " needs a positive rate and weight and a burst of at least 1");
    }
  }
}
