package org.toucanrack.internal.coordination.lease;

import org.toucanrack.internal.state.Member;

/**
 * A member as listed in the row of its failure domain. Immutable and thread-safe.
 *
 * @param member the member
 * @param renewalCounter the highest counter of its heartbeats that a written row includes
 * @param configurationVersion the configuration version in use; 0 for none
 */
public record RowMember(Member member, long renewalCounter, long configurationVersion) {

  RowMember mergedWith(RowMember newer) {
    return new RowMember(
        newer.member(),
        Math.max(renewalCounter, newer.renewalCounter()),
        Math.max(configurationVersion, newer.configurationVersion()));
  }
}
