package org.toucanrack.internal.configuration;

import org.toucanrack.id.CustomerId;

/** Names that have a predefined meaning. Stateless and thread-safe. */
public final class ReservedNames {

  /** The customer that requests on open routes are accounted to. It cannot have a key. */
  public static final CustomerId ANONYMOUS = new CustomerId("anonymous");

  private ReservedNames() {}
}
