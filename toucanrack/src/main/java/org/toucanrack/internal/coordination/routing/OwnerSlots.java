package org.toucanrack.internal.coordination.routing;

import org.toucanrack.internal.state.Member;

/**
 * A VM that owns slots of one version of a service. Immutable and thread-safe.
 *
 * @param owner the VM
 * @param slots total slots of its backend servers of that version
 */
public record OwnerSlots(Member owner, int slots) {}
