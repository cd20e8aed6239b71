package org.toucanrack.internal.coordination.lease;

import org.toucanrack.internal.state.Member;

/**
 * A member of a failure domain as its row lists it. Immutable and thread-safe.
 *
 * @param member the member
 * @param renewalCounter the highest counter of its heartbeats that a written row includes
 */
public record RowMember(Member member, long renewalCounter) {

  RowMember renewed(Member newest, long counter) {
    return new RowMember(newest, Math.max(renewalCounter, counter));
  }
}
