package org.toucanrack.internal.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against log lines of System.Logger that do not reach standard error. */
class LoggingTest {

  private static final System.Logger LOG = System.getLogger("org.toucanrack.test");

  private final PrintStream originalErr = System.err;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  @AfterEach
  void restoreStandardError() {
    System.setErr(originalErr);
    Logging.configure(false);
  }

  @Test
  void writesPlainLines() {
    log(false);

    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.endsWith("Z INFO  [lease] Took over a-1.\n"), text);
  }

  @Test
  void writesOneJsonObjectForEachLine() throws IOException {
    log(true);

    JsonNode line = JsonRowStore.JSON.readTree(output.toByteArray());
    assertEquals("INFO", line.get("level").asText());
    assertTrue(line.toString().contains("[lease] Took over a-1."), line.toString());
  }

  private void log(boolean json) {
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    Logging.configure(json);
    LOG.log(System.Logger.Level.INFO, "[lease] Took over {0}.", "a-1");
    LOG.log(System.Logger.Level.DEBUG, "[lease] Not shown.");
  }
}
