package org.toucanrack.internal.state;

import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;

/**
 * Identifies one share of a customer's rate and burst. Immutable and thread-safe.
 *
 * @param customer the customer
 * @param failureDomain the failure domain to which the share is assigned
 * @param index number of the share within the failure domain, from 0
 */
public record RateShareId(CustomerId customer, FailureDomainId failureDomain, int index) {}
