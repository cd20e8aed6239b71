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

/** Checks that the tests and scenarios named in {@code docs/PROOF.md} exist. */
class ProofPageTest {

  private static final Path ROOT = Path.of("..");
  private static final Pattern TEST_REFERENCE =
      Pattern.compile("`([A-Z][A-Za-z]+Test)(?:\\.([a-zA-Z0-9]+))?");
  private static final Pattern SCENARIO_REFERENCE =
      Pattern.compile("\"([A-Z][^\".]+?)(?: \\.\\.\\.)?\"");

  @Test
  void namesOnlyTestsThatExist() throws IOException {
    Matcher references = TEST_REFERENCE.matcher(Files.readString(ROOT.resolve("docs/PROOF.md")));

    while (references.find()) {
      String method = references.group(2) == null ? "" : references.group(2);
      String source = sourceOf(references.group(1));
      assertTrue(source.contains(method), references.group(1) + " has no " + method);
    }
  }

  @Test
  void namesOnlyScenariosThatExist() throws IOException {
    String page = Files.readString(ROOT.resolve("docs/PROOF.md"));
    String proofs = page.substring(page.indexOf("## What must always hold"));
    Matcher references = SCENARIO_REFERENCE.matcher(proofs);

    while (references.find()) {
      String name = references.group(1);
      assertTrue(
          name.startsWith("Not run") || featureTexts().contains(name), "no scenario: " + name);
    }
  }

  private static String sourceOf(String testClass) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      return files
          .filter(file -> file.getFileName().toString().equals(testClass + ".java"))
          .map(ProofPageTest::read)
          .findFirst()
          .orElseThrow(() -> new AssertionError("no test class " + testClass));
    }
  }

  private static String featureTexts() throws IOException {
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
