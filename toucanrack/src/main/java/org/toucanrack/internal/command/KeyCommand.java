package org.toucanrack.internal.command;

import java.util.List;
import java.util.Optional;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.configuration.GrantedKeys;
import org.toucanrack.internal.configuration.KeySecret;
import org.toucanrack.internal.configuration.NameSyntax;
import org.toucanrack.internal.configuration.Publication;
import org.toucanrack.platform.Platform;

/** Grants and withdraws keys. Each change is published as a version of the configuration. */
final class KeyCommand implements Command {

  private static final Flag CUSTOMER = Flag.of("customer", "NAME", "Whose key it is; for 'grant'.");
  private static final Flag NAME = Flag.of("name", "NAME", "Name of the key.");

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String arguments() {
    return "grant|withdraw";
  }

  @Override
  public String summary() {
    return "Grants a key and prints its secret once, or withdraws a key.";
  }

  @Override
  public List<Flag> flags() {
    return List.of(
        CUSTOMER,
        NAME,
        AdoptionWait.WAIT,
        AdoptionWait.WAIT_SECONDS,
        CommonFlags.OPERATOR,
        CommonFlags.PLATFORM);
  }

  @Override
  public ExitCode run(Invocation invocation) {
    Settings settings = invocation.settings();
    String action = settings.action("grant", "withdraw");
    Optional<String> name = settings.parsed(NAME, text -> NameSyntax.check("key", text));
    Optional<CustomerId> customer =
        action.equals("grant") ? settings.parsed(CUSTOMER, CustomerId::new) : Optional.empty();
    AdoptionWait.checkFlags(settings);
    try (Platform platform = invocation.openPlatform()) {
      long version =
          customer.isPresent()
              ? grant(invocation, platform, customer.get(), name.orElseThrow())
              : withdraw(invocation, platform, name.orElseThrow());
      AdoptionWait.await(settings, platform, version, invocation.out());
    }
    return ExitCode.DONE;
  }

  private static long grant(
      Invocation invocation, Platform platform, CustomerId customer, String name) {
    VersionSequence sequence = new VersionSequence(platform);
    Configuration current = sequence.requireCurrent();
    KeySecret secret = KeySecret.generate();
    List<Key> keys = GrantedKeys.withKey(current, GrantedKeys.newKey(name, customer, secret));
    long version = publishGrant(invocation, sequence, current, keys, name);
    invocation.out().println("Accepted as version " + version + ".");
    invocation.out().println("Key '" + name + "' of customer '" + customer + "', shown only now:");
    invocation.out().println(secret.text());
    return version;
  }

  private static long publishGrant(
      Invocation invocation,
      VersionSequence sequence,
      Configuration current,
      List<Key> keys,
      String name) {
    try {
      return publish(invocation, sequence, current, keys);
    } catch (ToucanrackException e) {
      if (e.code() != ErrorCode.OUTCOME_UNKNOWN) {
        throw e;
      }
      throw new ToucanrackException(
          e.code(),
          e.getMessage()
              + " The secret is not shown. If 'toucanrack get' lists the key '"
              + name
              + "', withdraw it and grant another.",
          e);
    }
  }

  private static long withdraw(Invocation invocation, Platform platform, String name) {
    VersionSequence sequence = new VersionSequence(platform);
    Configuration current = sequence.requireCurrent();
    long version = publish(invocation, sequence, current, GrantedKeys.withoutKey(current, name));
    invocation
        .out()
        .println("Accepted as version " + version + "; key '" + name + "' is withdrawn.");
    return version;
  }

  private static long publish(
      Invocation invocation, VersionSequence sequence, Configuration current, List<Key> keys) {
    return sequence.publish(
        new Publication(
            current.version(),
            current.deployment(),
            keys,
            VersionSequence.newOperationId(),
            invocation.settings().operator()));
  }
}
