package org.toucanrack.bench;

/** The main class of the load and measurement tool. */
public final class Bench {

  private Bench() {}

  /** Runs one measurement. */
  public static void main(String[] arguments) {
    System.err.println("bench: no measurement given");
    System.exit(2);
  }
}
