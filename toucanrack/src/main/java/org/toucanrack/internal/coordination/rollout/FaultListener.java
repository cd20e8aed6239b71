package org.toucanrack.internal.coordination.rollout;

import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Is told when this VM proved a fault of a version, to notify peers and record it. */
@FunctionalInterface
public interface FaultListener {

  /** Called once per version and declaration, without a lock held, after the local stop. */
  void onFault(ServiceId service, VersionId version, String reason);
}
