package org.toucanrack.steering;

import java.util.concurrent.CompletionStage;

/**
 * The platform's endpoint for usage reports. Calls complete on the event loop that made them, and
 * never complete exceptionally.
 */
public interface UsageSink {

  /** Sends one report. */
  CompletionStage<Outcome> send(UsageReport report);

  /** What became of a report. */
  enum Outcome {
    /** The platform has the report. */
    ACCEPTED,
    /** The platform has seen a higher fence; the sender no longer holds the duty. */
    FENCED,
    /** The platform did not take the report and never will by this call. */
    REFUSED,
    /** The platform may take the report now, later or not at all. */
    UNKNOWN
  }
}
