package org.toucanrack.scenarios;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against proofs on the page that name tests or scenarios which no longer exist. */
class ProofPageTest {

  private static final Path ROOT = Path.of("..");
  private static final Pattern TEST =
      Pattern.compile("`([A-Z][A-Za-z]+Test)(?:\\.([a-zA-Z0-9]+))?");
  private static final Pattern SCENARIO = Pattern.compile("\"([A-Z][^\".]+?)(?: \\.\\.\\.)?\"");

  @Test
  void namesOnlyTestsThatExist() throws IOException {
    Matcher names = TEST.matcher(Files.readString(ROOT.resolve("docs/PROOF.md")));

    while (names.find()) {
      String method = names.group(2) == null ? "" : names.group(2);
      String source = source(names.group(1));
      assertTrue(source.contains(method), names.group(1) + " has no " + method);
    }
  }

  @Test
  void namesOnlyScenariosThatExist() throws IOException {
    String page = Files.readString(ROOT.resolve("docs/PROOF.md"));
    String proofs = page.substring(page.indexOf("## What must always hold"));
    Matcher names = SCENARIO.matcher(proofs);

    while (names.find()) {
      String name = names.group(1);
      assertTrue(name.startsWith("Not run") || features().contains(name), "no scenario: " + name);
    }
  }

  private static String source(String testClass) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      return files
          .filter(file -> file.getFileName().toString().equals(testClass + ".java"))
          .map(ProofPageTest::read)
          .findFirst()
          .orElseThrow(() -> new AssertionError("no test class " + testClass));
    }
  }

  private static String features() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/org/toucanrack/scenarios"))) {
      return String.join("", files.map(ProofPageTest::read).toList());
    }
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
