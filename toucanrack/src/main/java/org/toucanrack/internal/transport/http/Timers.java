package org.toucanrack.internal.transport.http;

/** Runs actions later. Thread-safe. */
@FunctionalInterface
interface Timers {

  void after(long delayNanos, Runnable action);
}
