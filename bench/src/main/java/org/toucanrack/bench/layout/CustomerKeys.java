package org.toucanrack.bench.layout;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the customers' keys from a file of {@code CUSTOMER KEY} lines. */
public final class CustomerKeys {

  private CustomerKeys() {}

  /** Returns the keys by customer in file order; lines with another number of words are skipped. */
  public static Map<String, String> read(Path file) throws IOException {
    Map<String, String> keys = new LinkedHashMap<>();
    for (String line : Files.readAllLines(file)) {
      String[] words = line.trim().split("\\s+");
      if (words.length == 2) {
        keys.put(words[0], words[1]);
      }
    }
    return keys;
  }
}
