package org.toucanrack.internal.coordination.control;

import org.toucanrack.internal.coordination.lease.ResourceId;

/**
 * Stops the traffic threads' use of a resource that this VM hands over. Implementations are
 * thread-safe and do not block.
 */
public interface ResourceDrainer {

  /** Reports each resource as drained at once, for VMs that serve no traffic. */
  ResourceDrainer NONE = (resource, epoch) -> true;

  /**
   * Stops the use of the resource and returns whether its last request has ended. Called repeatedly
   * until it returns true. From the first call on, the resource is used again only when a snapshot
   * grants it with a higher epoch.
   */
  boolean drain(ResourceId resource, long epoch);
}
