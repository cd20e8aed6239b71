package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;

class RetryAfterTest {

  // Guards against pauses that are cut to whole seconds, and against an overflow.
  @ParameterizedTest
  @CsvSource({
    "4, 4000",
    "0.25, 250",
    "0, 0",
    "1.9999, 2000",
    "600.5, 600000",
    "999999999999999999999999, 600000"
  })
  void readsSecondsUpToTheLongestPause(String value, long millis) {
    assertEquals(Optional.of(Duration.ofMillis(millis)), RetryAfter.of(refusal(value)));
  }

  // Guards against a faulty value that takes a server out of use.
  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "soon", "1e9", "NaN", ".5", "Sat, 05 Dec 2026 18:00:00 GMT"})
  void ignoresOtherValues(String value) {
    assertEquals(Optional.empty(), RetryAfter.of(refusal(value)));
  }

  // Guards against a shorter value that hides a longer one.
  @Test
  void theLongestOfSeveralValuesCounts() {
    assertEquals(Optional.of(Duration.ofSeconds(3)), RetryAfter.of(refusal("1", "soon", "3", "2")));
  }

  private static HttpMessage refusal(String... values) {
    List<HttpField> fields =
        Arrays.stream(values).map(value -> new HttpField("Retry-After", value)).toList();
    return HttpMessage.of("HTTP/1.1 503 Full", fields);
  }
}
