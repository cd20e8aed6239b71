package org.toucanrack.internal.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.CustomerId;

/** Changes the granted keys of a configuration. Stateless and thread-safe. */
public final class GrantedKeys {

  private GrantedKeys() {}

  /** Throws with {@code INVALID_CONFIGURATION} if a customer with keys is no longer declared. */
  public static void checkCustomers(Optional<Configuration> current, Deployment declared) {
    String orphanedKeys =
        current.map(Configuration::keys).orElse(List.of()).stream()
            .filter(key -> declared.customer(key.customer()).isEmpty())
            .map(key -> "'%s' of customer '%s'".formatted(key.name(), key.customer()))
            .collect(Collectors.joining(", "));
    if (!orphanedKeys.isEmpty()) {
      throw new ToucanrackException(
          ErrorCode.INVALID_CONFIGURATION,
          "The declared files no longer have the customers of these keys: %s."
                  .formatted(orphanedKeys)
              + " Withdraw the keys with 'toucanrack key withdraw', or keep the customers.");
    }
  }

  /**
   * Returns the keys with another one added. Throws with {@code INVALID_CONFIGURATION} if its
   * customer is unknown or reserved, or if its name is in use.
   */
  public static List<Key> withKey(Configuration current, Key key) {
    if (current.deployment().customer(key.customer()).isEmpty()) {
      throw invalidConfiguration(
          "There is no customer '%s'. Declare it first.".formatted(key.customer()));
    }
    if (key.customer().equals(ReservedNames.ANONYMOUS)) {
      throw invalidConfiguration(
          "Customer 'anonymous' is reserved for open routes. Name another customer.");
    }
    if (current.keys().stream().anyMatch(other -> other.name().equals(key.name()))) {
      throw invalidConfiguration(
          "There is a key '%s' already. Choose another name.".formatted(key.name()));
    }
    List<Key> keys = new ArrayList<>(current.keys());
    keys.add(key);
    return keys;
  }

  /**
   * Returns the keys without the named one. Throws with {@code INVALID_CONFIGURATION} if there is
   * none of that name.
   */
  public static List<Key> withoutKey(Configuration current, String name) {
    List<Key> keys = current.keys().stream().filter(key -> !key.name().equals(name)).toList();
    if (keys.size() == current.keys().size()) {
      throw invalidConfiguration(
          "There is no key '%s'. Run 'toucanrack get' for the keys.".formatted(name));
    }
    return keys;
  }

  /** Returns a key with the hash of the secret. */
  public static Key newKey(String name, CustomerId customer, KeySecret secret) {
    return new Key(NameSyntax.check("key", name), customer, secret.sha256());
  }

  private static ToucanrackException invalidConfiguration(String message) {
    return new ToucanrackException(ErrorCode.INVALID_CONFIGURATION, message);
  }
}
