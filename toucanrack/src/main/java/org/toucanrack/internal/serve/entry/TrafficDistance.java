package org.toucanrack.internal.serve.entry;

import java.util.Locale;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;
import org.toucanrack.steering.EntrySettings;

/** How far the other end of a transfer is from this VM. */
enum TrafficDistance {
  /** In the same failure domain. */
  DOMAIN,
  /** In another failure domain of the same region. */
  REGION,
  /** In another region. */
  OTHER_REGION,
  /** Not known, as for the store and for VMs from which no heartbeat has arrived. */
  UNKNOWN;

  /** Returns the distance to a failure domain. */
  static TrafficDistance to(FailureDomainId domain, EntrySettings settings) {
    if (settings.failureDomain().equals(domain)) {
      return DOMAIN;
    }
    RegionId region = settings.regions().get(domain);
    if (region == null) {
      return UNKNOWN;
    }
    return region.equals(settings.region()) ? REGION : OTHER_REGION;
  }

  /** Returns the name in logs and metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
