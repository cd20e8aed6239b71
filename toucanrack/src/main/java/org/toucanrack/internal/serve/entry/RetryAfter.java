package org.toucanrack.internal.serve.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;

/**
 * Reads the Retry-After header of a server's refusal. Stateless and thread-safe.
 *
 * <p>A value is a number of seconds, with or without a fraction. Other values, such as a date, are
 * ignored; of several values the longest counts. A longer pause than {@link #MAX_PAUSE} is
 * shortened to it, so that no value takes a server out of use for good.
 */
final class RetryAfter {

  static final String NAME = "Retry-After";
  static final Duration MAX_PAUSE = Duration.ofMinutes(10);

  private static final Pattern SECONDS = Pattern.compile("([0-9]+)(\\.[0-9]+)?");

  /** Numbers with more digits before the point exceed the longest pause. */
  private static final int MAX_DIGITS = 9;

  private static final long MILLIS_PER_SECOND = 1000;

  private RetryAfter() {}

  /** Returns the pause that a refusal asks for, if it has a readable value. */
  static Optional<Duration> of(HttpMessage refusal) {
    return refusal.fields().stream()
        .filter(field -> field.isNamed(NAME))
        .map(HttpField::value)
        .flatMap(value -> parse(value).stream())
        .max(Duration::compareTo);
  }

  private static Optional<Duration> parse(String value) {
    Matcher matcher = SECONDS.matcher(value.strip());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    if (matcher.group(1).length() > MAX_DIGITS) {
      return Optional.of(MAX_PAUSE);
    }
    long millis = (long) Math.ceil(Double.parseDouble(value.strip()) * MILLIS_PER_SECOND);
    Duration pause = Duration.ofMillis(millis);
    return Optional.of(pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause);
  }
}
