package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Configuration;
import org.toucanrack.configuration.Key;
import org.toucanrack.id.CustomerId;

/**
 * Guards against bodies that change when they are decoded and encoded again, and against damaged
 * bodies that make the decoder fail with an unexpected exception.
 */
class ConfigurationCodecTest {

  private static final Configuration KALAHARI =
      new Configuration(
          3,
          ConfigurationDirectory.read(Path.of("..", "examples", "kalahari")),
          List.of(new Key("k", new CustomerId("otavi-cards"), new KeySecret("s").sha256())));
  private static final byte[] BODY = ConfigurationCodec.encode(KALAHARI);

  @Test
  void preservesConfigurationAndBytesWhenDecodedAndEncodedAgain() {
    Configuration decoded = ConfigurationCodec.decode(BODY);

    assertEquals(KALAHARI, decoded);
    assertArrayEquals(BODY, ConfigurationCodec.encode(decoded));
  }

  @Test
  void refusesBodyOfAnotherFormat() {
    byte[] newer =
        new String(BODY, StandardCharsets.UTF_8)
            .replace("\"format\":1", "\"format\":2")
            .getBytes(StandardCharsets.UTF_8);

    ToucanrackException failure =
        assertThrows(ToucanrackException.class, () -> ConfigurationCodec.decode(newer));

    assertEquals(ErrorCode.INVALID_CONFIGURATION, failure.code());
  }

  @Property(tries = 300)
  void failsOnlyWithToucanrackExceptionOnDamagedBodies(
      @ForAll @IntRange(max = 1_000_000) int offset, @ForAll byte replacement) {
    byte[] damaged = BODY.clone();
    damaged[offset % damaged.length] = replacement;

    try {
      ConfigurationCodec.decode(damaged);
    } catch (ToucanrackException expected) {
      assertEquals(ErrorCode.INVALID_CONFIGURATION, expected.code());
    }
  }
}
