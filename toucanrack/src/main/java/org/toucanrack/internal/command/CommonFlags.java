package org.toucanrack.internal.command;

import java.util.List;

/** Flags that several commands share. Stateless and thread-safe. */
final class CommonFlags {

  static final Flag HELP = Flag.toggle("help", "Shows this text.").withShortName("h");
  static final Flag LOG_FORMAT =
      Flag.of("log-format", "plain|json", "Format of the log lines on standard error.")
          .withDefault("plain");
  static final Flag PLATFORM =
      Flag.of("platform", "URLS", "Addresses of the platform, separated by commas.");
  static final Flag FILE =
      Flag.of("file", "DIR", "Directory of the declared *.yaml files.").withShortName("f");
  static final Flag OPERATOR =
      Flag.of(
          "operator",
          "NAME",
          "Who makes the change, recorded with it; the operating system's user if not given.");

  private CommonFlags() {}

  /** Returns the flags of every command. */
  static List<Flag> ofEveryCommand() {
    return List.of(HELP, LOG_FORMAT);
  }
}
