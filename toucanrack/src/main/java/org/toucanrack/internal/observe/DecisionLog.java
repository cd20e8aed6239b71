package org.toucanrack.internal.observe;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes decisions as JSON, one object per line.
 *
 * <pre>{@code
 * log.event("store-lost", "reason", "connect: refused");
 * }</pre>
 *
 * <p>Invariants: a caller never blocks. Lines about requests beyond the limit per second, and all
 * lines that do not fit into the queue, are dropped and counted; the count is logged. Thread-safe.
 */
public final class DecisionLog implements AutoCloseable {

  /** Limit for lines about requests; decisions of the control thread are not limited. */
  public static final int MAX_REQUEST_LINES_PER_SECOND = 40;

  /** One in this many successful requests is logged; all VMs sample the same requests. */
  private static final int SUCCESS_SAMPLE_INTERVAL = 32;

  private static final int QUEUE_CAPACITY_LINES = 2048;
  private static final long MILLIS_PER_SECOND = 1000;

  private final String vm;
  private final OutputStream output;
  private final JsonFactory json = new JsonFactory();
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer;
  private long currentSecond;
  private int linesThisSecond;

  /** Creates the log of a VM and starts its writer thread. */
  public DecisionLog(String vm, OutputStream output) {
    this.vm = vm;
    this.output = output;
    this.writer = new Thread(this::writeLines, "decision-log");
    writer.setDaemon(true);
    writer.start();
  }

  /** Logs a change of this VM's state or decisions; {@code fields} alternates names and values. */
  public void event(String event, Object... fields) {
    offer(toJsonLine(event, fields));
  }

  /** Logs a decision about a request, unless the limit for this second is reached. */
  public void request(String event, String requestId, Object... fields) {
    if (mayLogRequest()) {
      Object[] allFields = new Object[fields.length + 2];
      allFields[0] = "request";
      allFields[1] = requestId;
      System.arraycopy(fields, 0, allFields, 2, fields.length);
      offer(toJsonLine(event, allFields));
    }
  }

  /** Returns whether this request is sampled, so that its success is logged. */
  public static boolean isSampled(String requestId) {
    return Math.floorMod(requestId.hashCode(), SUCCESS_SAMPLE_INTERVAL) == 0;
  }

  /** Returns the number of dropped lines that are not yet reported in the log. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(MILLIS_PER_SECOND);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean mayLogRequest() {
    long now = System.currentTimeMillis() / MILLIS_PER_SECOND;
    if (now != currentSecond) {
      currentSecond = now;
      linesThisSecond = 0;
      long droppedLines = dropped.getAndSet(0);
      if (droppedLines > 0) {
        offer(toJsonLine("log-dropped", "lines", droppedLines));
      }
    }
    if (linesThisSecond++ < MAX_REQUEST_LINES_PER_SECOND) {
      return true;
    }
    dropped.incrementAndGet();
    return false;
  }

  private void offer(byte[] line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private byte[] toJsonLine(String event, Object... fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try (JsonGenerator out = json.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeStringField("time", Instant.now().toString());
      out.writeStringField("vm", vm);
      out.writeStringField("event", event);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        out.writeFieldName(String.valueOf(fields[i]));
        writeValue(out, fields[i + 1]);
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    bytes.write('\n');
    return bytes.toByteArray();
  }

  private static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      out.writeNumber(((Number) value).longValue());
    } else if (value instanceof Number number) {
      out.writeNumber(Math.round(number.doubleValue() * 1000) / 1000.0);
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else {
      out.writeString(String.valueOf(value));
    }
  }

  private void writeLines() {
    try {
      while (true) {
        output.write(queue.take());
        if (queue.isEmpty()) {
          output.flush();
        }
      }
    } catch (InterruptedException e) {
      writeQueuedLines();
    } catch (IOException e) {
      // The output is closed, so the failure cannot be reported anywhere.
      queue.clear();
    }
  }

  private void writeQueuedLines() {
    try {
      for (byte[] line = queue.poll(); line != null; line = queue.poll()) {
        output.write(line);
      }
      output.flush();
    } catch (IOException e) {
      // The output is closed, so the failure cannot be reported anywhere.
      queue.clear();
    }
  }
}
