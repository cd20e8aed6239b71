package org.toucanrack.internal.transport.http;

/** Runs actions after a delay. Thread-safe. */
@FunctionalInterface
interface TaskScheduler {

  void schedule(long delayNanos, Runnable action);
}
