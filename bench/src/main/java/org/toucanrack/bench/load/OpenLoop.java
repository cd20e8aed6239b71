package org.toucanrack.bench.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.toucanrack.bench.result.Recorder;

/**
 * Sends the requests of a schedule when they are due, whatever became of earlier ones. Latency
 * counts from the time a request was due, so a stalled system does not hide its own delays.
 */
public final class OpenLoop {

  private static final long LONGEST_TAIL_MILLIS = 20_000;
  private static final long POLL_MILLIS = 5;

  private final Caller caller;
  private final Recorder recorder;

  /** Creates a loop that records into the recorder. */
  public OpenLoop(Caller caller, Recorder recorder) {
    this.caller = caller;
    this.recorder = recorder;
  }

  /** Sends all requests, then waits until each has an outcome. */
  public void run(List<PlannedRequest> schedule) throws InterruptedException {
    long start = System.nanoTime();
    AtomicInteger open = new AtomicInteger();
    for (PlannedRequest request : schedule) {
      sleepUntil(start + request.offsetNanos());
      open.incrementAndGet();
      caller
          .send(request)
          .thenAccept(
              result -> {
                long latency = System.nanoTime() - start - request.offsetNanos();
                recorder.record(request, result, latency);
                open.decrementAndGet();
              });
    }
    awaitTail(open);
  }

  private void awaitTail(AtomicInteger open) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_TAIL_MILLIS);
    while (open.get() > 0 && System.nanoTime() - end < 0) {
      Thread.sleep(POLL_MILLIS);
    }
    recorder.recordUnfinished(open.get());
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      if (Thread.interrupted()) {
        throw new InterruptedException("stopped while sending");
      }
      left = nanos - System.nanoTime();
    }
  }
}
