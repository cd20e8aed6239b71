package org.toucanrack.internal.state;

import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;

/**
 * Names one share of a customer's rate and burst. Immutable and thread-safe.
 *
 * @param customer the customer
 * @param failureDomain the failure domain that holds the share
 * @param index number of the share within the failure domain, from 0
 */
public record RateShareId(CustomerId customer, FailureDomainId failureDomain, int index) {}
