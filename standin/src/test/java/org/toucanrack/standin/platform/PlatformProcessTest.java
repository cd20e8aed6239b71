package org.toucanrack.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.standin.TestHttp;

/**
 * Tests that injected platform faults have the effects that the failure model specifies: lost
 * responses to commits, outages, rate limits, and delayed updates of the VM list.
 */
class PlatformProcessTest {

  private static final String WRITE =
      "{'operationId':'%s','conditions':[],'writes':[{'key':'%s','value':'v'}]}";

  private final PlatformProcess platform =
      new PlatformProcess(
          List.of(new InetSocketAddress("127.0.0.1", 0)),
          new PlatformSettings(0.001, 0, 60_000, 0));
  private final TestHttp http = new TestHttp(platform.port());

  PlatformProcessTest() throws IOException {}

  @AfterEach
  void stop() {
    platform.close();
  }

  @Test
  void commitTakesEffectWhenItsResponseIsLost() throws Exception {
    http.post("/fault", "{'loseCommitAnswers':1}");

    assertThrows(IOException.class, () -> http.post("/table/commit", WRITE.formatted("a", "row")));

    assertTrue(http.post("/table/get", "{'key':'row'}").body().contains("\"version\":1"));
  }

  @Test
  void outageRejectsCallsBeforeTheyTakeEffect() throws Exception {
    http.post("/fault", "{'outageMillis':60000}");

    assertThrows(IOException.class, () -> http.post("/table/commit", WRITE.formatted("a", "row")));
    http.post("/fault", "{'outageMillis':0}");

    assertTrue(http.post("/table/get", "{'key':'row'}").body().contains("null"));
  }

  @Test
  void writeAboveTheRateLimitIsRefused() throws Exception {
    http.post("/table/commit", WRITE.formatted("a", "row"));

    int code = http.post("/table/commit", WRITE.formatted("b", "row")).statusCode();

    assertEquals(429, code);
  }

  @Test
  void vmListHidesChangesUntilItsLagHasPassed() throws Exception {
    http.put("/vms/one", "{'peerAddress':'127.0.0.1:1'}");

    String list = http.get("/vms").body();

    assertEquals("{\"vms\":[]}", list);
  }
}
