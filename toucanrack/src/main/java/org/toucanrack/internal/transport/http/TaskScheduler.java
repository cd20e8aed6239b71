package org.toucanrack.internal.transport.http;

/** Runs actions later. Thread-safe. */
@FunctionalInterface
interface TaskScheduler {

  void schedule(long delayNanos, Runnable action);
}
