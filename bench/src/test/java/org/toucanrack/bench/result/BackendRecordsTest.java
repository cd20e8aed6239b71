package org.toucanrack.bench.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a check that misses duplicate runs or wrong verdicts. */
class BackendRecordsTest {

  private final BackendRecords backendRecords =
      new BackendRecords(
          Map.of("order-1", 2, "order-2", 1), Map.of("read-1", 3), Map.of(), 0, false, List.of());

  @Test
  void onlyWritesThatRanTwiceAreDuplicates() {
    assertEquals(1, backendRecords.duplicates());
  }

  @Test
  void requestsReportedAsNotRunThatRanAreCounted() {
    assertEquals(2, backendRecords.falseNotRun(Set.of("order-2", "read-1", "other")));
  }

  @Test
  void answersWithoutRunAreCounted() {
    assertEquals(1, backendRecords.answeredWithoutRun(Set.of("order-1", "other")));
  }
}
