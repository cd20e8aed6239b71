package org.toucanrack.internal.configuration;

import org.toucanrack.id.CustomerId;

/** Names with a meaning of their own. Stateless and thread-safe. */
public final class ReservedNames {

  /** The customer that requests on open routes are accounted to. It can have no key. */
  public static final CustomerId ANONYMOUS = new CustomerId("anonymous");

  private ReservedNames() {}
}
