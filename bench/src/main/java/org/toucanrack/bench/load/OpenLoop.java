package org.toucanrack.bench.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.toucanrack.bench.result.Recorder;

/**
 * Open-loop load generator: sends each request of a schedule when it is due, regardless of earlier
 * ones. Latency counts from the due time, which avoids coordinated omission.
 */
public final class OpenLoop {

  private static final long MAX_COMPLETION_WAIT_MILLIS = 20_000;
  private static final long POLL_INTERVAL_MILLIS = 5;

  private final Caller caller;
  private final Recorder recorder;

  /** Creates a generator that records all results in the recorder. */
  public OpenLoop(Caller caller, Recorder recorder) {
    this.caller = caller;
    this.recorder = recorder;
  }

  /** Sends all requests, then waits for outstanding ones up to a time limit. */
  public void run(List<PlannedRequest> schedule) throws InterruptedException {
    long startNanos = System.nanoTime();
    AtomicInteger pending = new AtomicInteger();
    for (PlannedRequest request : schedule) {
      parkUntil(startNanos + request.offsetNanos());
      pending.incrementAndGet();
      caller
          .send(request)
          .thenAccept(
              result -> {
                long latencyNanos = System.nanoTime() - startNanos - request.offsetNanos();
                recorder.record(request, result, latencyNanos);
                pending.decrementAndGet();
              });
    }
    awaitCompletion(pending);
  }

  private void awaitCompletion(AtomicInteger pending) throws InterruptedException {
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_COMPLETION_WAIT_MILLIS);
    while (pending.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    recorder.recordUnfinished(pending.get());
  }

  private static void parkUntil(long dueNanos) throws InterruptedException {
    long remainingNanos = dueNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      if (Thread.interrupted()) {
        throw new InterruptedException("interrupted while sending requests");
      }
      remainingNanos = dueNanos - System.nanoTime();
    }
  }
}
