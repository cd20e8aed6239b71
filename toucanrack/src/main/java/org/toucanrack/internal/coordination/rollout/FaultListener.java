package org.toucanrack.internal.coordination.rollout;

import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Notified when this VM has proved a fault of a version, to inform peers and record the fault. */
@FunctionalInterface
public interface FaultListener {

  /** Called once per version and declaration, without a lock held, after the local stop. */
  void onFault(ServiceId service, VersionId version, String reason);
}
