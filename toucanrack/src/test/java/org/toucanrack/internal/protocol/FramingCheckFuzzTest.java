package org.toucanrack.internal.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.util.List;

/** Guards against bytes that break the framing check or that it reads differently in pieces. */
class FramingCheckFuzzTest {

  @FuzzTest(maxDuration = "60s")
  void readsAnyBytesTheSameInOneAndInManyPieces(byte[] bytes) {
    FramingCheck whole = new FramingCheck();
    int safe = whole.feed(bytes, 0, bytes.length);
    FramingCheck pieces = new FramingCheck();
    FramingCheckTest.feedInPieces(pieces, bytes, List.of(1, 2, 3, 5, 8, 13, 21));

    assertTrue(safe >= 0 && safe <= bytes.length);
    assertEquals(whole.violation(), pieces.violation());
    assertEquals(whole.heads(), pieces.heads());
    assertEquals(whole.phase(), pieces.phase());
  }
}
