package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the seconds since the start. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf(
        Locale.ROOT, "%9.3f %s%n", now(), String.format(Locale.ROOT, format, arguments));
    out.flush();
  }

  /** Writes a line to the record and to the standard output. */
  void result(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
