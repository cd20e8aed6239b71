package org.toucanrack.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;

/** Guards against damaged files that make the reader fail with an unexpected exception. */
class DamagedFilesTest {

  private static final Path EXAMPLE = Path.of("..", "examples", "kalahari");
  private static final List<String> FILES =
      List.of("backend-servers.yaml", "customers.yaml", "deployment.yaml", "services.yaml");

  @Property(tries = 200)
  void reportsDamagedFilesOnlyAsInvalidConfiguration(
      @ForAll @IntRange(max = 3) int file,
      @ForAll @IntRange(max = 1_000_000) int offset,
      @ForAll @IntRange(max = 12) int removedLength,
      @ForAll("fragments") String inserted)
      throws IOException {
    Path directory = Files.createTempDirectory("declared");
    for (String name : FILES) {
      Files.copy(EXAMPLE.resolve(name), directory.resolve(name));
    }
    Path damaged = directory.resolve(FILES.get(file));
    String text = Files.readString(damaged);
    int start = offset % text.length();
    int end = Math.min(text.length(), start + removedLength);

    Files.writeString(damaged, text.substring(0, start) + inserted + text.substring(end));

    try {
      ConfigurationDirectory.read(directory);
    } catch (ToucanrackException expected) {
      assertEquals(ErrorCode.INVALID_CONFIGURATION, expected.code());
    } finally {
      delete(directory);
    }
  }

  @Provide
  Arbitrary<String> fragments() {
    return Arbitraries.of(
        "",
        " ",
        "\n",
        ":",
        "- ",
        "[",
        "{",
        "]",
        "}",
        "#",
        "'",
        "*x",
        "&x",
        "!!int ",
        "? ",
        "|",
        "-",
        "0",
        "-1",
        "99999999999999999999",
        "1e999",
        ".nan",
        "null",
        "~",
        "true",
        "\t",
        "\u0000",
        "x".repeat(64),
        "[[[[[[[[",
        "---\n",
        "%",
        "<<: ",
        "2001-01-01");
  }

  private static void delete(Path directory) throws IOException {
    for (String name : FILES) {
      Files.delete(directory.resolve(name));
    }
    Files.delete(directory);
  }
}
