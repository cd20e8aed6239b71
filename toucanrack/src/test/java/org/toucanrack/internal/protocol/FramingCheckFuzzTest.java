package org.toucanrack.internal.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.util.List;

/**
 * Guards against input that crashes the framing check, and against results that depend on how the
 * input is split.
 */
class FramingCheckFuzzTest {

  @FuzzTest(maxDuration = "60s")
  void readsAnyBytesTheSameInOneAndInManyPieces(byte[] bytes) {
    FramingCheck whole = new FramingCheck();
    int passableEnd = whole.feed(bytes, 0, bytes.length);
    FramingCheck pieces = new FramingCheck();
    FramingCheckTest.feedInPieces(pieces, bytes, List.of(1, 2, 3, 5, 8, 13, 21));

    assertTrue(passableEnd >= 0 && passableEnd <= bytes.length);
    assertEquals(whole.violation(), pieces.violation());
    assertEquals(whole.headCount(), pieces.headCount());
    assertEquals(whole.phase(), pieces.phase());
  }
}
