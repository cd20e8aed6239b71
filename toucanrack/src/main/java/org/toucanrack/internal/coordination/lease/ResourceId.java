package org.toucanrack.internal.coordination.lease;

import java.util.Objects;
import java.util.Optional;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.internal.state.RateShareId;

/**
 * Names a leased resource of one failure domain: {@code server/ID} or {@code share/CUSTOMER/INDEX}.
 * Immutable and thread-safe.
 *
 * @param value the text form, as in the domain row
 */
public record ResourceId(String value) implements Comparable<ResourceId> {

  private static final String SERVER_PREFIX = "server/";
  private static final String SHARE_PREFIX = "share/";

  /** Rejects values of another form. */
  public ResourceId {
    Objects.requireNonNull(value, "value");
    if (!value.startsWith(SERVER_PREFIX) && !value.startsWith(SHARE_PREFIX)) {
      throw new IllegalArgumentException(
          "'" + value + "' is not a resource id: expected server/ID or share/CUSTOMER/INDEX");
    }
  }

  /** Returns the resource for all slots of a backend server. */
  public static ResourceId of(BackendServerId server) {
    return new ResourceId(SERVER_PREFIX + server.value());
  }

  /** Returns the resource for a share of a customer's rate. */
  public static ResourceId of(CustomerId customer, int index) {
    return new ResourceId(SHARE_PREFIX + customer.value() + "/" + index);
  }

  /** Returns whether this is a backend server, whose handover waits for requests in flight. */
  public boolean isBackendServer() {
    return value.startsWith(SERVER_PREFIX);
  }

  /** Returns the backend server, if this is one. */
  public Optional<BackendServerId> backendServer() {
    return isBackendServer()
        ? Optional.of(new BackendServerId(value.substring(SERVER_PREFIX.length())))
        : Optional.empty();
  }

  /** Returns the rate share within the failure domain, if this is one. */
  public Optional<RateShareId> rateShare(FailureDomainId domain) {
    if (isBackendServer()) {
      return Optional.empty();
    }
    int slash = value.lastIndexOf('/');
    CustomerId customer = new CustomerId(value.substring(SHARE_PREFIX.length(), slash));
    return Optional.of(
        new RateShareId(customer, domain, Integer.parseInt(value.substring(slash + 1))));
  }

  @Override
  public int compareTo(ResourceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
