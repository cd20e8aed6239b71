package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;
import org.toucanrack.testing.FreePorts;

/** Tests pipelined requests on a listener whose handler answers when the test says so. */
class PipeliningTest {

  private static final long BUDGET_BYTES = 1_000_000;
  private static final int TOO_LARGE_BYTES = 800_000;
  private static final int LARGE_BYTES = 200_000;

  /** What is read ahead of 64 kB before reading pauses, in an array of at most twice the size. */
  private static final int MAX_WAITING_BYTES = 2 * (64 + 16) * 1024;

  /** Memory of the objects of a request with two or three header fields. */
  private static final int MAX_HEAD_MEMORY_BYTES = 1000;

  /** One answer of this size fits into the share of a connection, two do not. */
  private static final int HELD_BYTES = 150_000;

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(900);
  private static final ListenerLimits SHORT_TIMEOUTS =
      new ListenerLimits(16 * 1024, 1024 * 1024, Duration.ofMillis(400), IDLE_TIMEOUT);

  /** Longer than both time-outs and the interval at which they are checked together. */
  private static final long BEYOND_TIMEOUTS_MS = 1900;

  /** Time after which a caller that leaves no longer occupies servers. */
  private static final long MAX_CANCEL_MS = 500;

  /** A recursion for each request would need far more stack than this. */
  private static final long SMALL_STACK_BYTES = 256 * 1024;

  private static final int MANY_REQUESTS = 50_000;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 * 1024;
  private static final HttpField CLOSE = new HttpField("Connection", "close");

  private final Eventloop loop = Eventloop.create();
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.allocate());
  private final RequestMemoryBudget bodyBudget = new RequestMemoryBudget(BUDGET_BYTES);
  private final ResponseBufferBudget heldBudget = new ResponseBufferBudget(BUDGET_BYTES);
  private final List<String> started = new CopyOnWriteArrayList<>();
  private final List<String> abandoned = new CopyOnWriteArrayList<>();
  private final List<String> waited = new CopyOnWriteArrayList<>();
  private final List<String> dropped = new CopyOnWriteArrayList<>();
  private final Map<String, RequestHandler.Exchange> exchanges = new ConcurrentHashMap<>();
  private volatile ListenerLimits limits = ListenerLimits.INTERNAL;
  private volatile boolean answersAtOnce;
  private volatile int answerBytes;
  private HttpListener listener;

  @BeforeEach
  void start() throws Exception {
    loop.keepAlive(true);
    Thread thread = new Thread(null, loop, "listener", SMALL_STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    listener =
        new HttpListener(
            loop,
            address,
            this::handle,
            () -> limits,
            new ListenerBudgets(bodyBudget, heldBudget),
            new Recorder());
    onLoop(
        () -> {
          listener.listen();
          return true;
        });
  }

  @AfterEach
  void stop() {
    loop.execute(loop::breakEventloop);
  }

  private void handle(HttpMessage request, RequestHandler.Exchange exchange) {
    String target = request.target();
    started.add(target);
    exchanges.put(target, exchange);
    exchange.onAbandoned(() -> abandoned.add(target));
    if (answersAtOnce || target.startsWith("/now")) {
      exchange.respond(answer(target));
    }
  }

  private final class Recorder implements ListenerObserver {

    @Override
    public void waitsForOthers(HttpMessage request) {
      waited.add(request.target());
    }

    @Override
    public void responseDropped(HttpMessage request) {
      dropped.add(request.target());
    }
  }

  // Guards against answers that reach the caller in the order in which the servers gave them.
  @Test
  void answersLeaveInTheOrderOfTheRequests() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + get("/c"));
      await(() -> started.equals(List.of("/a", "/b", "/c")));

      respond("/c");
      respond("/b");
      caller.expectNothing();
      respond("/a");

      assertEquals(List.of("/a", "/b", "/c"), caller.bodies(3));
    }
  }

  // Guards against an answer that is given at once and overtakes the one of an earlier request.
  @Test
  void answersThatComeAtOnceWaitForEarlierOnes() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/now-b"));
      await(() -> started.contains("/now-b"));
      caller.expectNothing();

      respond("/a");

      assertEquals(List.of("/a", "/now-b"), caller.bodies(2));
    }
  }

  // Guards against a write that runs beside, or is lost behind, another request.
  @Test
  void requestsThatAreNotSafeWaitUntilTheyAreFirstAndHoldTheOnesBehind() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + post("/order", "") + get("/b"));
      await(() -> waited.equals(List.of("/order")));
      assertEquals(List.of("/a"), started);

      respond("/a");
      await(() -> started.equals(List.of("/a", "/order")));
      waitForBackgroundWork();
      assertEquals(List.of("/a", "/order"), started);

      respond("/order");
      await(() -> started.contains("/b"));
      respond("/b");
      assertEquals(List.of("/a", "/order", "/b"), caller.bodies(3));
    }
  }

  // Guards against requests that run although the caller takes them for not read.
  @Test
  void nothingIsStartedBehindRequestsThatCloseTheConnection() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(
          get("/a") + "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/c"));
      await(() -> started.contains("/last"));
      respond("/last");
      respond("/a");

      List<HttpMessage> answers = caller.read(3);

      assertEquals(List.of("/a", "/last"), bodies(answers));
      assertFalse(answers.get(0).closesConnection());
      assertTrue(answers.get(1).closesConnection());
      assertEquals(List.of("/a", "/last"), started);
    }
  }

  // Guards against a closing answer that drops the earlier ones, and against servers that go on
  // working on requests that can get no answer.
  @Test
  void responsesThatCloseTheConnectionCancelTheRequestsBehind() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + get("/c"));
      await(() -> started.contains("/c"));

      respond("/b", HttpMessage.of("HTTP/1.1 503 Busy", List.of(CLOSE), text("/b")));
      await(() -> abandoned.equals(List.of("/c")));
      respond("/c");
      caller.expectNothing();
      respond("/a");

      List<HttpMessage> answers = caller.read(3);
      assertEquals(List.of("/a", "/b"), bodies(answers));
      assertTrue(answers.get(1).closesConnection());
    }
  }

  // Guards against a refusal that is sent before the answers of earlier requests, or closes the
  // connection before them, and against memory that is reserved for a body that has to wait.
  @Test
  void refusedBodiesAreAnsweredBehindEarlierRequests() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b"));
      caller.sendInBackground(post("/upload", "x".repeat(TOO_LARGE_BYTES)));
      await(() -> started.contains("/b"));
      waitForBackgroundWork();
      assertOnlyReadAheadIsReserved();
      respond("/b");
      caller.expectNothing();
      respond("/a");

      List<HttpMessage> answers = caller.read(4);

      assertEquals(List.of(200, 200, 503), statuses(answers));
      assertTrue(answers.get(2).field("Retry-After").isPresent());
      assertTrue(answers.get(2).closesConnection());
      assertEquals(List.of("/a", "/b"), started);
      assertEquals(0, (long) onLoop(bodyBudget::usedBytes));
    }
  }

  /** Checks that a waiting body is counted with what was read of it, not with its whole size. */
  private void assertOnlyReadAheadIsReserved() throws Exception {
    long usedBytes = onLoop(bodyBudget::usedBytes);
    assertEquals(onLoop(listener::memory).busyBytes(), usedBytes);
    assertTrue(usedBytes <= MAX_WAITING_BYTES, usedBytes + " bytes");
  }

  // Guards against bodies behind other requests that are not counted once they are read, or that
  // stay counted after their answer.
  @Test
  void bodiesBehindOthersAreCountedFromTheirTurnUntilTheirAnswer() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a"));
      caller.sendInBackground(post("/upload", "x".repeat(LARGE_BYTES)));
      await(() -> started.contains("/a"));
      waitForBackgroundWork();
      assertOnlyReadAheadIsReserved();

      respond("/a");
      await(() -> started.contains("/upload"));
      long usedBytes = onLoop(bodyBudget::usedBytes);
      assertEquals(onLoop(listener::memory).busyBytes(), usedBytes);
      assertTrue(
          usedBytes >= LARGE_BYTES && usedBytes <= LARGE_BYTES + MAX_HEAD_MEMORY_BYTES,
          usedBytes + " bytes");
      respond("/upload");

      assertEquals(List.of("/a", "/upload"), caller.bodies(2));
      await(() -> onLoop(bodyBudget::usedBytes) == 0);
    }
  }

  // Guards against a malformed request that closes the connection before the good ones ahead of it
  // are answered.
  @Test
  void malformedRequestsAreAnsweredBehindEarlierRequests() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + "GET / HTTP/1.1\r\nno field\r\n\r\n" + get("/c"));
      await(() -> started.contains("/b"));
      respond("/b");
      caller.expectNothing();
      respond("/a");

      List<HttpMessage> answers = caller.read(4);

      assertEquals(List.of(200, 200, 400), statuses(answers));
      assertTrue(answers.get(2).closesConnection());
      assertEquals(List.of("/a", "/b"), started);
    }
  }

  // Guards against a connection that has any number of requests run at the same time.
  @Test
  void sixteenRequestsOfOneConnectionRunAtMost() throws Exception {
    try (Caller caller = new Caller()) {
      for (int i = 0; i < 20; i++) {
        caller.send(get("/" + i));
      }
      await(() -> started.size() >= ResponseQueue.MAX_REQUESTS);
      waitForBackgroundWork();
      assertEquals(ResponseQueue.MAX_REQUESTS, started.size());

      respond("/0");
      await(() -> started.size() == ResponseQueue.MAX_REQUESTS + 1);
      assertEquals(List.of("/0"), caller.bodies(1));
    }
  }

  // Guards against a caller that uses up the memory by sending on behind unanswered requests.
  @Test
  void bytesBehindUnansweredRequestsAreBounded() throws Exception {
    try (Caller caller = new Caller()) {
      CompletableFuture<Void> sent =
          caller.sendInBackground(get("/many").repeat(20 * MANY_REQUESTS));
      await(() -> started.size() == ResponseQueue.MAX_REQUESTS);
      waitForBackgroundWork();

      assertFalse(sent.isDone());
      assertEquals(ResponseQueue.MAX_REQUESTS, started.size());
    }
  }

  // Guards against servers that go on working for a caller that has left.
  @Test
  void callersThatLeaveCancelAllTheirRequestsAtOnce() throws Exception {
    long leftNanos;
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + get("/now-c") + get("/d"));
      await(() -> started.contains("/d"));
      leftNanos = System.nanoTime();
    }

    await(() -> abandoned.containsAll(List.of("/a", "/b", "/d")));

    long millis = (System.nanoTime() - leftNanos) / 1_000_000;
    assertTrue(millis < MAX_CANCEL_MS, millis + " ms");
    assertEquals(0, (long) onLoop(heldBudget::usedBytes));
  }

  // Guards against a stop that closes a connection before the answers of requests that were
  // started, and against a connection that is never closed since further requests follow.
  @Test
  void stoppingListenersCloseAfterTheAnswersOfAllStartedRequests() throws Exception {
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + get("/c"));
      await(() -> started.contains("/c"));
      onLoop(
          () -> {
            listener.closeConnectionsAfterResponse();
            return true;
          });

      respond("/a");
      assertEquals(List.of("/a"), caller.bodies(1));
      caller.send(get("/d"));
      waitForBackgroundWork();
      assertEquals(1, (int) onLoop(listener::busyConnections));
      respond("/c");
      respond("/b");

      List<HttpMessage> answers = caller.read(3);
      assertEquals(List.of("/b", "/c"), bodies(answers));
      assertFalse(answers.get(0).closesConnection());
      assertTrue(answers.get(1).closesConnection());
      assertFalse(started.contains("/d"));
      assertEquals(0, (int) onLoop(listener::busyConnections));
    }
  }

  // Guards against a caller that loses an answer, since bytes that nobody reads reset the
  // connection when it is closed. The caller reads late and through a small buffer, so that the
  // end of the answer is not sent yet when the last request is answered.
  @Test
  void answersReachCallersThatGoOnSendingBehindTheLastRequest() throws Exception {
    answersAtOnce = true;
    answerBytes = 200_000;
    try (Caller caller = new Caller(SMALL_RECEIVE_BUFFER_BYTES)) {
      caller.sendInBackground(
          "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
              + get("/b").repeat(MANY_REQUESTS));
      await(() -> started.contains("/last"));
      waitForBackgroundWork();

      assertEquals(List.of(200), statuses(caller.read(2)));
    }
    assertEquals(List.of("/last"), started);
  }

  // Guards against a connection that is closed as idle, or whose next request is rejected as too
  // slow, while the caller waits for answers.
  @Test
  void timeoutsDoNotRunWhileAnswersAreOut() throws Exception {
    limits = SHORT_TIMEOUTS;
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + "GET /partial");
      await(() -> started.contains("/b"));
      Thread.sleep(BEYOND_TIMEOUTS_MS);
      respond("/b");
      respond("/a");

      List<HttpMessage> answers = caller.read(4);

      assertEquals(List.of(200, 200, 408), statuses(answers));
    }
  }

  // Guards against connections without requests that stay open for ever.
  @Test
  void connectionsAreIdleOnceAllAnswersAreWritten() throws Exception {
    limits = SHORT_TIMEOUTS;
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b"));
      await(() -> started.contains("/b"));
      Thread.sleep(BEYOND_TIMEOUTS_MS);
      respond("/a");
      respond("/b");
      assertEquals(List.of("/a", "/b"), caller.bodies(2));

      long idleSinceNanos = System.nanoTime();
      assertEquals(List.of(), caller.read(1));

      long millis = (System.nanoTime() - idleSinceNanos) / 1_000_000;
      assertTrue(millis >= IDLE_TIMEOUT.toMillis() - 100, millis + " ms");
    }
  }

  // Guards against a stack that overflows when answers are given and written at once.
  @Test
  void manyImmediateAnswersNeedNoDeepStack() throws Exception {
    answersAtOnce = true;
    try (Caller caller = new Caller()) {
      caller.sendInBackground(get("/x").repeat(MANY_REQUESTS));

      assertEquals(MANY_REQUESTS, caller.read(MANY_REQUESTS).size());
    }
  }

  // Guards against a caller that does not read, and so fills the memory with answers, occupies
  // servers, or keeps its connection for ever.
  @Test
  void callersThatDoNotReadAreBoundedAndDisconnected() throws Exception {
    limits = SHORT_TIMEOUTS;
    answersAtOnce = true;
    answerBytes = 100_000;
    try (Caller caller = new Caller()) {
      caller.sendInBackground(get("/x").repeat(MANY_REQUESTS));
      await(() -> started.size() > ResponseQueue.MAX_REQUESTS);
      await(() -> unchangedFor(200));
      assertTrue(onLoop(heldBudget::usedBytes) <= ResponseQueue.MAX_HELD_BYTES + 2L * answerBytes);
      assertTrue(started.size() < MANY_REQUESTS / 10, started.size() + " requests");

      await(() -> !abandoned.isEmpty());
      assertEquals(0, (int) onLoop(listener::busyConnections));
      assertEquals(0, (long) onLoop(heldBudget::usedBytes));
    }
  }

  // Guards against held answers of many requests that use up the heap, and against an answer in
  // their place that promises that the request has not run.
  @Test
  void heldAnswersThatDoNotFitIntoMemoryPromiseNothing() throws Exception {
    answerBytes = HELD_BYTES;
    try (Caller caller = new Caller()) {
      caller.send(get("/a") + get("/b") + get("/c"));
      await(() -> started.contains("/c"));
      respond("/b");
      respond("/c");
      await(() -> dropped.equals(List.of("/c")));
      assertTrue(onLoop(heldBudget::usedBytes) < 2 * HELD_BYTES);
      respond("/a");

      List<HttpMessage> answers = caller.read(3);

      assertEquals(List.of(200, 200, 502), statuses(answers));
      assertTrue(answers.get(2).field("Retry-After").isEmpty());
      await(() -> onLoop(heldBudget::usedBytes) == 0);
    }
  }

  // Guards against an answer to HEAD whose body the caller takes for the next answer.
  @Test
  void answersToHeadHaveNoBody() throws Exception {
    answersAtOnce = true;
    try (Caller caller = new Caller()) {
      caller.send("HEAD /head HTTP/1.1\r\nHost: h\r\n\r\n");
      String head = caller.readUntil("\r\n\r\n");
      caller.send(get("/a"));

      assertTrue(head.contains("Content-Length: 5\r\n"), head);
      assertEquals(List.of("/a"), caller.bodies(1));
    }
  }

  private boolean unchangedFor(long millis) throws InterruptedException {
    int before = started.size();
    Thread.sleep(millis);
    return started.size() == before;
  }

  private HttpMessage answer(String target) {
    byte[] body = answerBytes > 0 ? new byte[answerBytes] : text(target);
    return HttpMessage.of("HTTP/1.1 200 OK", List.of(), body);
  }

  private void respond(String target) throws Exception {
    respond(target, answer(target));
  }

  private void respond(String target, HttpMessage answer) throws Exception {
    onLoop(
        () -> {
          exchanges.get(target).respond(answer);
          return true;
        });
  }

  private <T> T onLoop(Callable<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            result.complete(action.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get();
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String get(String target) {
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  private static String post(String target, String body) {
    return "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(target, body.length(), body);
  }

  private static List<String> bodies(List<HttpMessage> answers) {
    return answers.stream()
        .map(answer -> new String(answer.body(), StandardCharsets.ISO_8859_1))
        .toList();
  }

  private static List<Integer> statuses(List<HttpMessage> answers) {
    return answers.stream().map(HttpMessage::status).toList();
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < end, "the condition did not hold in time");
      Thread.sleep(5);
    }
  }

  /** Waits until requests would have been started if nothing held them back. */
  private static void waitForBackgroundWork() throws InterruptedException {
    Thread.sleep(200);
  }

  /** A caller with one connection. */
  private final class Caller implements AutoCloseable {

    private final Socket socket;
    private final MessageReader reader =
        new MessageReader(MessageReader.Kind.RESPONSE, 16 * 1024, 1024 * 1024);
    private final Deque<HttpMessage> unread = new ArrayDeque<>();

    Caller() throws IOException {
      this(0);
    }

    /** Creates a caller whose receive buffer has this size, or the default one for zero. */
    Caller(int receiveBufferBytes) throws IOException {
      socket = new Socket();
      if (receiveBufferBytes > 0) {
        socket.setReceiveBufferSize(receiveBufferBytes);
      }
      socket.connect(address);
      socket.setSoTimeout(10_000);
    }

    void send(String requests) throws IOException {
      socket.getOutputStream().write(text(requests));
    }

    CompletableFuture<Void> sendInBackground(String requests) {
      CompletableFuture<Void> sent = new CompletableFuture<>();
      Thread writer =
          new Thread(
              () -> {
                try {
                  OutputStream out = socket.getOutputStream();
                  out.write(text(requests));
                  sent.complete(null);
                } catch (IOException e) {
                  sent.completeExceptionally(e);
                }
              });
      writer.setDaemon(true);
      writer.start();
      return sent;
    }

    void expectNothing() throws IOException {
      socket.setSoTimeout(150);
      try {
        int read = socket.getInputStream().read();
        throw new AssertionError("received " + read);
      } catch (SocketTimeoutException e) {
        socket.setSoTimeout(10_000);
      }
    }

    List<String> bodies(int count) throws IOException, MalformedMessage {
      return PipeliningTest.bodies(read(count));
    }

    /** Reads this many answers, or fewer if the connection ends. */
    List<HttpMessage> read(int count) throws IOException, MalformedMessage {
      InputStream in = socket.getInputStream();
      byte[] bytes = new byte[16 * 1024];
      while (unread.size() < count) {
        int read = in.read(bytes);
        if (read < 0) {
          break;
        }
        reader.feed(bytes, 0, read);
        for (Optional<HttpMessage> answer = reader.poll();
            answer.isPresent();
            answer = reader.poll()) {
          unread.add(answer.get());
        }
      }
      List<HttpMessage> answers = new ArrayList<>();
      while (answers.size() < count && !unread.isEmpty()) {
        answers.add(unread.remove());
      }
      return answers;
    }

    String readUntil(String end) throws IOException {
      StringBuilder text = new StringBuilder();
      while (!text.toString().endsWith(end)) {
        text.append((char) socket.getInputStream().read());
      }
      return text.toString();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
