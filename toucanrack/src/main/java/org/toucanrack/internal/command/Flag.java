package org.toucanrack.internal.command;

import java.util.Locale;
import java.util.Optional;

/**
 * One flag of the command line, with its environment variable. Immutable and thread-safe.
 *
 * @param name the long name, without dashes
 * @param shortName one letter, or empty
 * @param argument name of the argument for the help text; empty for a switch
 * @param defaultValue used if neither the flag nor the variable is given
 * @param description one sentence for the help text and the reference page
 */
public record Flag(
    String name,
    Optional<String> shortName,
    Optional<String> argument,
    Optional<String> defaultValue,
    String description) {

  private static final String VARIABLE_PREFIX = "TOUCANRACK_";

  /** Returns a flag with an argument and no default. */
  static Flag of(String name, String argument, String description) {
    return new Flag(name, Optional.empty(), Optional.of(argument), Optional.empty(), description);
  }

  /** Returns a flag without argument. */
  static Flag toggle(String name, String description) {
    return new Flag(name, Optional.empty(), Optional.empty(), Optional.empty(), description);
  }

  /** Returns this flag with a default. */
  Flag withDefault(String value) {
    return new Flag(name, shortName, argument, Optional.of(value), description);
  }

  /** Returns this flag with a short name. */
  Flag withShortName(String letter) {
    return new Flag(name, Optional.of(letter), argument, defaultValue, description);
  }

  /** Returns the name of the environment variable. */
  public String variable() {
    return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  @Override
  public String toString() {
    return "--" + name;
  }
}
