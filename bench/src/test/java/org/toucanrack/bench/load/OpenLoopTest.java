package org.toucanrack.bench.load;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.toucanrack.bench.result.Recorder;

/**
 * Guards against coordinated omission: a stall that hides the latency of requests due meanwhile.
 */
class OpenLoopTest {

  private static final int STALL_MILLIS = 100;

  @Test
  void latencyCountsFromTheTimeRequestsWereDue() throws InterruptedException {
    Recorder recorder = new Recorder();
    Caller callerStallingOnFirstRequest =
        request -> {
          if (request.id().equals("a")) {
            stall();
          }
          return CompletableFuture.completedFuture(
              new Caller.Result(Outcome.ANSWERED, 200, "", "", true));
        };

    new OpenLoop(callerStallingOnFirstRequest, recorder).run(List.of(request("a"), request("b")));

    assertTrue(recorder.all().latencyMillisAt(0) >= STALL_MILLIS);
  }

  private static PlannedRequest request(String id) {
    return new PlannedRequest(id, 0, "c", "s", "r", "GET", "/", true, false, true);
  }

  private static void stall() {
    try {
      Thread.sleep(STALL_MILLIS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
