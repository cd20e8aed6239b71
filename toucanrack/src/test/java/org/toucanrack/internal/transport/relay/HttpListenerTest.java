package org.toucanrack.internal.transport.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanrack.internal.protocol.message.HttpField;
import org.toucanrack.internal.protocol.message.HttpMessage;
import org.toucanrack.internal.protocol.message.MalformedMessage;
import org.toucanrack.internal.protocol.message.MessageReader;
import org.toucanrack.testing.FreePorts;

class HttpListenerTest {

  private static final long BUDGET_BYTES = 1_000_000;
  private static final int TOO_LARGE_BYTES = 800_000;
  private static final int LARGE_BYTES = 700_000;
  private static final int PIPELINED_REQUESTS = 20_000;

  /** More than the kernel buffers for a connection whose caller reads nothing. */
  private static final int LARGE_ANSWER_BYTES = 16_000_000;

  private static final int STALLED_CALLERS = 10;
  private static final int WAITING_CALLERS = 200;
  private static final int WAITING_BYTES = 60_000;

  /** Bytes that are read from a socket at once, in an array of at most twice the size. */
  private static final int MAX_READ_BYTES = 2 * 16 * 1024;

  private static final String SMALL_REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

  private final Eventloop loop = Eventloop.create();
  private final InetSocketAddress address =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), FreePorts.allocate());
  private final RequestMemoryBudget budget = new RequestMemoryBudget(BUDGET_BYTES);
  private final AtomicInteger handledBytes = new AtomicInteger();
  private final List<RequestHandler.Exchange> waiting = new ArrayList<>();
  private final AtomicInteger stalledClosed = new AtomicInteger();
  private volatile int answerBytes;
  private final List<String> refused = new CopyOnWriteArrayList<>();
  private volatile boolean answersLater;
  private HttpListener listener;

  @BeforeEach
  void start() throws InterruptedException {
    loop.keepAlive(true);
    Thread thread = new Thread(loop);
    thread.setDaemon(true);
    thread.start();
    listener =
        new HttpListener(
            loop,
            address,
            this::handle,
            () -> ListenerLimits.INTERNAL,
            new ListenerBudgets(budget, new ResponseBufferBudget(BUDGET_BYTES)),
            new ListenerObserver() {
              @Override
              public void refusedForMemory(HttpMessage head) {
                refused.add(head.startLine());
              }

              @Override
              public void stalledCallerClosed(long unsentBytes, long stalledMillis) {
                stalledClosed.incrementAndGet();
              }
            });
    CountDownLatch listening = new CountDownLatch(1);
    loop.execute(
        () -> {
          listener.listen();
          listening.countDown();
        });
    listening.await();
  }

  @AfterEach
  void stop() {
    loop.execute(loop::breakEventloop);
  }

  private void handle(HttpMessage request, RequestHandler.Exchange exchange) {
    handledBytes.addAndGet(request.body().length);
    if (answersLater) {
      waiting.add(exchange);
    } else {
      exchange.respond(
          answerBytes == 0
              ? Responses.text(200, "done")
              : Responses.withBody(
                  200, new HttpField("Content-Type", "text/plain"), new byte[answerBytes]));
    }
  }

  // Guards against a heap that is used up by the bodies of uploads: the event loop ended, and the
  // process went on without answering.
  @Test
  void bodiesThatDoNotFitIntoMemoryAreRefusedAsNotRun() throws Exception {
    HttpMessage refusal = upload("Content-Length: " + TOO_LARGE_BYTES, bytes(TOO_LARGE_BYTES));

    assertEquals(503, refusal.status());
    assertTrue(refusal.field("Retry-After").isPresent());
    assertEquals(0, handledBytes.get());
  }

  // Guards against chunked bodies that are counted only when they are complete.
  @Test
  void chunkedBodiesThatDoNotFitIntoMemoryAreRefusedAsNotRun() throws Exception {
    byte[] chunk = ("186a0\r\n" + "x".repeat(100_000) + "\r\n").getBytes(StandardCharsets.UTF_8);
    byte[] body = new byte[9 * chunk.length + 5];
    for (int i = 0; i < 9; i++) {
      System.arraycopy(chunk, 0, body, i * chunk.length, chunk.length);
    }
    System.arraycopy("0\r\n\r\n".getBytes(StandardCharsets.UTF_8), 0, body, 9 * chunk.length, 5);

    assertEquals(503, upload("Transfer-Encoding: chunked", body).status());
    assertEquals(0, handledBytes.get());
  }

  // Guards against memory that stays reserved after the answer, so that later uploads are refused.
  @Test
  void memoryIsFreeAgainAfterEachAnswerAndRefusal() throws Exception {
    for (int i = 0; i < 3; i++) {
      assertEquals(200, upload("Content-Length: " + LARGE_BYTES, bytes(LARGE_BYTES)).status());
      assertEquals(
          503, upload("Content-Length: " + TOO_LARGE_BYTES, bytes(TOO_LARGE_BYTES)).status());
    }
    assertEquals(3 * LARGE_BYTES, handledBytes.get());
  }

  // Guards against kept connections that use up the heap with the buffers of their last uploads.
  @Test
  void idleConnectionsHoldNoMemoryAfterUploads() throws Exception {
    List<Socket> kept = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = connect();
      kept.add(socket);
      write(socket, "Content-Length: " + LARGE_BYTES, bytes(LARGE_BYTES));
      assertEquals(200, read(socket.getInputStream()).status());
    }

    ConnectionMemory memory = onLoop(listener::memory);

    assertEquals(0, memory.idleBytes());
    assertEquals(0, memory.busyBytes());
    for (Socket socket : kept) {
      socket.close();
    }
  }

  // Guards against memory that is held uncounted: by requests that wait behind an unanswered one of
  // their connection, each connection holding less than its own limit.
  @Test
  void requestsThatWaitOnManyConnectionsFitIntoTheMemoryTogether() throws Exception {
    answersLater = true;
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < WAITING_CALLERS; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(SMALL_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
      callers.add(socket);
    }
    await(() -> onLoop(waiting::size) == WAITING_CALLERS);
    for (Socket socket : callers) {
      write(socket, "Content-Length: " + WAITING_BYTES, bytes(WAITING_BYTES));
    }
    Thread.sleep(500);

    ConnectionMemory memory = onLoop(listener::memory);

    // Each connection has read at most once after the memory was used up.
    long maxBytes = BUDGET_BYTES + (long) WAITING_CALLERS * MAX_READ_BYTES;
    assertTrue(memory.busyBytes() <= maxBytes, memory + " of " + maxBytes);
    assertEquals(memory.busyBytes(), onLoop(budget::usedBytes));

    answersLater = false;
    loop.execute(() -> waiting.forEach(exchange -> exchange.respond(Responses.text(200, "done"))));
    int answered = 0;
    for (Socket socket : callers) {
      answered += answers(socket.getInputStream(), 2);
      socket.close();
    }
    assertEquals(2 * WAITING_CALLERS, answered);
    await(() -> onLoop(budget::usedBytes) == 0);
  }

  // Guards against heads and requests without a body that are not counted, so that callers use up
  // the heap with many requests that servers have not answered.
  @Test
  void requestsWithoutBodiesThatDoNotFitIntoMemoryAreRefusedAsNotRun() throws Exception {
    answersLater = true;
    String largeHead = "GET / HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(15_000) + "\r\n\r\n";
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(largeHead.getBytes(StandardCharsets.ISO_8859_1));
      callers.add(socket);
    }
    await(() -> onLoop(() -> waiting.size()) + refused.size() == 100);

    assertTrue(onLoop(budget::usedBytes) <= BUDGET_BYTES);
    assertTrue(refused.size() > 20, refused.size() + " refused");
    loop.execute(() -> waiting.forEach(exchange -> exchange.respond(Responses.text(200, "done"))));
    int notRun = 0;
    for (Socket socket : callers) {
      HttpMessage answer = read(socket.getInputStream());
      notRun += answer.status() == 503 && answer.field("Retry-After").isPresent() ? 1 : 0;
      socket.close();
    }
    assertEquals(refused.size(), notRun);
    await(() -> onLoop(budget::usedBytes) == 0);
  }

  // Guards against callers that accept no answers and together hold the heap until their time-out.
  @Test
  void stalledCallersAreClosedOnceTheirAnswersUseUpTheMemory() throws Exception {
    answerBytes = LARGE_ANSWER_BYTES;
    List<Socket> stalled = new ArrayList<>();
    for (int i = 0; i < STALLED_CALLERS; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(SMALL_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
      stalled.add(socket);
    }
    await(() -> onLoop(listener::unsentResponseBytes) > BUDGET_BYTES);
    long mostBytes = onLoop(listener::unsentResponseBytes);

    await(() -> onLoop(listener::unsentResponseBytes) <= BUDGET_BYTES);

    // Above twice the limit no further large answer is accepted.
    assertTrue(mostBytes <= 2 * BUDGET_BYTES + LARGE_ANSWER_BYTES, mostBytes + " bytes");
    assertTrue(stalledClosed.get() > 0);
    try (Socket reading = connect()) {
      reading.getOutputStream().write(SMALL_REQUEST.getBytes(StandardCharsets.ISO_8859_1));
      HttpMessage answer = read(reading.getInputStream());
      assertEquals(200, answer.status());
      assertEquals(LARGE_ANSWER_BYTES, answer.body().length);
    }
    for (Socket socket : stalled) {
      socket.close();
    }
    await(() -> onLoop(listener::unsentResponseBytes) == 0);
  }

  // Guards against memory that stays counted, or is released twice, when callers reset their
  // connections while answers are written.
  @Test
  void memoryOfResetConnectionsIsReleasedOnce() throws Exception {
    answerBytes = LARGE_ANSWER_BYTES;
    for (int i = 0; i < 20; i++) {
      Socket socket = connect();
      write(socket, "Content-Length: 100000", bytes(100_000));
      if (i % 2 == 0) {
        socket.getInputStream().read(new byte[100]);
      }
      socket.setSoLinger(true, 0);
      socket.close();
    }

    await(() -> onLoop(listener::unsentResponseBytes) == 0 && onLoop(budget::usedBytes) == 0);
    Thread.sleep(700);
    assertEquals(0, onLoop(listener::unsentResponseBytes));
    assertEquals(0, onLoop(budget::usedBytes));
    assertEquals(new ConnectionMemory(0, 0), onLoop(listener::memory));
  }

  // Guards against a caller that uses up the memory by sending on behind an unanswered request.
  @Test
  void requestsBehindAnUnansweredOneAreReadOnlyAfterItsAnswer() throws Exception {
    answersLater = true;
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      Thread writer =
          new Thread(
              () -> {
                try {
                  OutputStream out = socket.getOutputStream();
                  byte[] requests =
                      SMALL_REQUEST
                          .repeat(PIPELINED_REQUESTS / 100)
                          .getBytes(StandardCharsets.ISO_8859_1);
                  for (int i = 0; i < 100; i++) {
                    out.write(requests);
                  }
                } catch (IOException e) {
                  // The test sees the requests that are missing.
                  return;
                }
              });
      writer.setDaemon(true);
      writer.start();
      Thread.sleep(500);
      loop.execute(
          () -> {
            answersLater = false;
            waiting.forEach(exchange -> exchange.respond(Responses.text(200, "done")));
          });

      assertEquals(PIPELINED_REQUESTS, answers(socket.getInputStream(), PIPELINED_REQUESTS));
    }
  }

  private HttpMessage upload(String framing, byte[] body) throws IOException, MalformedMessage {
    try (Socket socket = connect()) {
      write(socket, framing, body);
      return read(socket.getInputStream());
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void write(Socket socket, String framing, byte[] body) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(
        ("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
  }

  private static void await(Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.call()) {
      assertTrue(System.nanoTime() < end, "the condition did not hold in time");
      Thread.sleep(10);
    }
  }

  private <T> T onLoop(Supplier<T> action) throws Exception {
    return CompletableFuture.supplyAsync(action, loop).get(10, TimeUnit.SECONDS);
  }

  private static byte[] bytes(int length) {
    return new byte[length];
  }

  private static HttpMessage read(InputStream in) throws IOException, MalformedMessage {
    MessageReader reader =
        new MessageReader(MessageReader.Kind.RESPONSE, 16 * 1024, LARGE_ANSWER_BYTES);
    byte[] bytes = new byte[4096];
    for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
      reader.feed(bytes, 0, read);
      Optional<HttpMessage> answer = reader.poll();
      if (answer.isPresent()) {
        return answer.get();
      }
    }
    throw new IOException("closed without an answer");
  }

  private static int answers(InputStream in, int expected) throws IOException, MalformedMessage {
    MessageReader reader = new MessageReader(MessageReader.Kind.RESPONSE, 16 * 1024, 1024);
    byte[] bytes = new byte[4096];
    int answers = 0;
    while (answers < expected) {
      int read = in.read(bytes);
      if (read < 0) {
        return answers;
      }
      reader.feed(bytes, 0, read);
      while (reader.poll().isPresent()) {
        answers++;
      }
    }
    return answers;
  }
}
