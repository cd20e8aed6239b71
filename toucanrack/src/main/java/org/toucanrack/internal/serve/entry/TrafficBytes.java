package org.toucanrack.internal.serve.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.LongAdder;
import org.toucanrack.internal.transport.relay.TransferCounter;

/**
 * Counts the bytes that this VM transfers, by purpose and distance. The answers to its own calls
 * count here and not where they are sent, so that each transfer counts once over all VMs. Headers
 * of TCP, UDP and IP do not count. Thread-safe.
 */
final class TrafficBytes {

  private final LongAdder[][] counts =
      new LongAdder[Purpose.values().length][TrafficDistance.values().length];

  /** What a transfer is for. */
  enum Purpose {
    /** Requests to backend servers. */
    REQUESTS,
    /** Answers of backend servers. */
    ANSWERS,
    HEARTBEATS,
    /** Fetches of rows of the store from other VMs. */
    ROWS,
    TOKEN_LOANS,
    RETRY_RESERVE,
    /** Usage counts sent to other VMs, and usage reports sent to the platform. */
    USAGE,
    STORE;

    /** Returns the name in logs and metrics. */
    String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Receives the counts. */
  interface Visitor {

    /** Called with the bytes of one purpose over one distance. */
    void visit(Purpose purpose, TrafficDistance distance, long bytes);
  }

  TrafficBytes() {
    for (LongAdder[] row : counts) {
      for (int i = 0; i < row.length; i++) {
        row[i] = new LongAdder();
      }
    }
  }

  void count(Purpose purpose, TrafficDistance distance, long bytes) {
    counts[purpose.ordinal()][distance.ordinal()].add(bytes);
  }

  /** Returns a counter of calls over one distance. */
  TransferCounter counter(Purpose sent, Purpose received, TrafficDistance distance) {
    LongAdder sentBytes = counts[sent.ordinal()][distance.ordinal()];
    LongAdder receivedBytes = counts[received.ordinal()][distance.ordinal()];
    return new TransferCounter() {
      @Override
      public void sent(long bytes) {
        sentBytes.add(bytes);
      }

      @Override
      public void received(long bytes) {
        receivedBytes.add(bytes);
      }
    };
  }

  /** Passes on all counts above 0. */
  void forEach(Visitor visitor) {
    for (Purpose purpose : Purpose.values()) {
      for (TrafficDistance distance : TrafficDistance.values()) {
        long bytes = counts[purpose.ordinal()][distance.ordinal()].sum();
        if (bytes > 0) {
          visitor.visit(purpose, distance, bytes);
        }
      }
    }
  }

  /** Returns the counts above 0 as alternating names and values of a log line. */
  Object[] logFields() {
    List<Object> fields = new ArrayList<>();
    forEach(
        (purpose, distance, bytes) -> {
          fields.add(purpose.label() + "." + distance.label());
          fields.add(bytes);
        });
    return fields.toArray();
  }
}
