package org.toucanrack.scenarios.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the system under test. */
public final class ChildProcess implements AutoCloseable {

  private static final long STOP_TIMEOUT_SECONDS = 30;

  /** Time in which a Java process writes its thread dump to the log. */
  private static final long THREAD_DUMP_WAIT_MILLIS = 500;

  private final String name;
  private final Process process;
  private final Path log;

  private ChildProcess(String name, Process process, Path log) {
    this.name = name;
    this.process = process;
    this.log = log;
  }

  static ChildProcess start(String name, Path directory, String mainClass, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass);
    command.addAll(arguments);
    Path log = directory.resolve(name + "-" + System.nanoTime() + ".log");
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(log.toFile())
              .start();
      return new ChildProcess(name, process, log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Ends the process at once. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Asks the process to stop and returns without waiting. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the end of the process. */
  public void awaitExit() {
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        sendSignal("-QUIT");
        Fleet.pause(THREAD_DUMP_WAIT_MILLIS);
        throw new IllegalStateException(
            name + " did not stop in " + STOP_TIMEOUT_SECONDS + " s; its log:\n" + logText());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Stops the process from running until {@link #resume}. */
  public void pause() {
    sendSignal("-STOP");
  }

  /** Lets a paused process run again. */
  public void resume() {
    sendSignal("-CONT");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  Path log() {
    return log;
  }

  private String logText() {
    try {
      return Files.readString(log);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  private void sendSignal(String option) {
    try {
      new ProcessBuilder("kill", option, String.valueOf(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
