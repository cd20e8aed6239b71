package org.toucanrack.steering;

import java.time.Duration;

/**
 * The settings of usage reports: how often the platform wants them and how the duty to send them is
 * held. Immutable and thread-safe.
 *
 * @param fenceRequired whether the platform rejects reports with a lower fence than it has seen;
 *     without it, the VMs alone ensure that there is one sender
 * @param lease time in which two VMs must not act in turns, and the base of all waiting times
 * @param resumeSlack time by which a resumed holder may act late
 * @param window length of the windows in which requests are counted
 * @param reportDelay time after the end of a window in which its report is due
 * @param tolerance share by which a reported count may differ from the true one
 * @param callsPerSecond calls per second that the platform accepts from all VMs together
 */
public record UsageReporting(
    boolean fenceRequired,
    Duration lease,
    Duration resumeSlack,
    Duration window,
    Duration reportDelay,
    double tolerance,
    double callsPerSecond) {

  /** Rejects times and rates with which no report could be sent. */
  public UsageReporting {
    requirePositive("lease", lease);
    requirePositive("window", window);
    requirePositive("report delay", reportDelay);
    if (resumeSlack.isNegative()) {
      throw new IllegalArgumentException("the slack of the lease is negative");
    }
    if (!(tolerance >= 0 && tolerance < 1)) {
      throw new IllegalArgumentException(
          "the tolerance of counts is " + tolerance + ", but has to be from 0 to below 1");
    }
    if (!(callsPerSecond > 0)) {
      throw new IllegalArgumentException(
          "the rate of usage reports is " + callsPerSecond + ", but has to be positive");
    }
  }

  /** Returns the time without a sign of life of the holder after which its duty is taken over. */
  public Duration takeoverSilence() {
    return lease.plus(resumeSlack);
  }

  private static void requirePositive(String name, Duration value) {
    if (value.isZero() || value.isNegative()) {
      throw new IllegalArgumentException("the " + name + " of usage reports is not positive");
    }
  }
}
