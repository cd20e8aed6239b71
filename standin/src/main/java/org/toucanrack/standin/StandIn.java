package org.toucanrack.standin;

/** The main class of the stand-ins for outside systems. */
public final class StandIn {

  private StandIn() {}

  /** Runs one stand-in. */
  public static void main(String[] arguments) {
    System.err.println("standin: no role given");
    System.exit(2);
  }
}
