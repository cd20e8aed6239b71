package org.toucanrack.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The entry VM processes in the list that the start script writes, one {@code process NAME ROLE
 * ADDRESS PID} per line. Only listed processes are ever killed. Immutable.
 */
public final class EntryVmProcesses {

  private static final double CLOCK_TICKS_PER_SECOND = 100;
  private static final int USER_TICKS_INDEX = 11;
  private static final int SYSTEM_TICKS_INDEX = 12;

  private final Map<String, Long> pidsByName = new LinkedHashMap<>();

  /** Reads the process list; lines of other roles are skipped. */
  public static EntryVmProcesses read(Path file) throws IOException {
    EntryVmProcesses processes = new EntryVmProcesses();
    for (String line : Files.readAllLines(file)) {
      String[] words = line.split(" ");
      if (words.length >= 5 && words[0].equals("process") && words[2].equals("entry")) {
        processes.pidsByName.put(words[1], Long.parseLong(words[4]));
      }
    }
    return processes;
  }

  /** Kills an entry VM with SIGKILL, without a graceful stop. */
  public void kill(String name) {
    Long pid = pidsByName.get(name);
    if (pid == null) {
      throw new IllegalArgumentException("no process listed for entry VM " + name);
    }
    ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
  }

  /** Returns the names of all entry VMs. */
  public List<String> names() {
    return List.copyOf(pidsByName.keySet());
  }

  /** Returns the CPU time used by an entry VM, in seconds. */
  public double cpuSeconds(String name) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pidsByName.get(name) + "/stat"));
    // Fields are counted after the command name, which may contain spaces.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long ticks =
        Long.parseLong(fields[USER_TICKS_INDEX]) + Long.parseLong(fields[SYSTEM_TICKS_INDEX]);
    return ticks / CLOCK_TICKS_PER_SECOND;
  }

  /** Returns the CPU time used by all entry VMs, in seconds. */
  public double totalCpuSeconds() throws IOException {
    double sum = 0;
    for (String name : pidsByName.keySet()) {
      sum += cpuSeconds(name);
    }
    return sum;
  }

  /** Sleeps between two parts of a measurement. */
  static void pause(long millis) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(millis);
  }
}
