package org.toucanrack.bench.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.toucanrack.bench.load.Caller;
import org.toucanrack.bench.load.Outcome;
import org.toucanrack.bench.load.PlannedRequest;

/** Guards against counting justified refusals of a customer above its rate as wrong refusals. */
class RecorderTest {

  private final Recorder recorder = new Recorder();

  @Test
  void refusalIsNotCountedIfTheCustomerReceivedItsRate() {
    record("greedy", true, Outcome.REFUSED);
    record("greedy", false, Outcome.ANSWERED);

    assertEquals(0, recorder.refusedWithinRate());
  }

  @Test
  void refusalIsCountedWhateverOtherCustomersReceived() {
    record("modest", true, Outcome.REFUSED);
    record("greedy", true, Outcome.ANSWERED);
    record("greedy", false, Outcome.ANSWERED);

    assertEquals(1, recorder.refusedWithinRate());
  }

  private void record(String customer, boolean withinRate, Outcome outcome) {
    PlannedRequest request =
        new PlannedRequest("id", 0, customer, "s", "r", "GET", "/", true, false, withinRate);
    recorder.record(request, new Caller.Result(outcome, 200, "", "", true), 0);
  }
}
