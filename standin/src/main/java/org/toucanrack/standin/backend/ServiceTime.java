package org.toucanrack.standin.backend;

import java.util.Random;

/**
 * A distribution of service times, written {@code fixed:MS}, {@code exponential:MEAN_MS} or {@code
 * lognormal:MEDIAN_MS:SIGMA}.
 *
 * @param kind the type of the distribution
 * @param millis the value, mean or median, depending on the type
 * @param sigma standard deviation of the logarithm for lognormal, otherwise 0
 */
public record ServiceTime(Kind kind, double millis, double sigma) {

  /** The type of a distribution. */
  public enum Kind {
    FIXED,
    EXPONENTIAL,
    LOGNORMAL
  }

  /** Parses the textual form. */
  public static ServiceTime parse(String text) {
    String[] parts = text.split(":");
    Kind kind = Kind.valueOf(parts[0].toUpperCase(java.util.Locale.ROOT));
    double sigma = parts.length > 2 ? Double.parseDouble(parts[2]) : 0;
    return new ServiceTime(kind, Double.parseDouble(parts[1]), sigma);
  }

  /** Samples a service time in milliseconds. */
  public double sampleMillis(Random random) {
    return switch (kind) {
      case FIXED -> millis;
      case EXPONENTIAL -> -Math.log(1 - random.nextDouble()) * millis;
      case LOGNORMAL -> millis * Math.exp(sigma * random.nextGaussian());
    };
  }
}
