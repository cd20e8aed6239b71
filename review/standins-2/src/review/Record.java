package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%9.3f  ", seconds());
    out.printf(format, values);
    out.println();
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... values) {
    line(format, values);
    System.out.printf(format + "%n", values);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
