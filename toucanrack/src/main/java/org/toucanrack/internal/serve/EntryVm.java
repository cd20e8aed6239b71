package org.toucanrack.internal.serve;

/** Runs an entry VM. */
public final class EntryVm {

  private EntryVm() {}

  /** Runs until the process is told to stop. */
  public static void run(ServeSettings settings) {
    System.err.println("not wired");
  }
}
