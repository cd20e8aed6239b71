package org.toucanrack.standin;

import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.toucanrack.standin.backend.BackendProcess;
import org.toucanrack.standin.link.LinkProcess;
import org.toucanrack.standin.platform.PlatformProcess;

/** The entry point of the stand-ins for external systems: platform, backend servers and links. */
public final class StandIn {

  private static final String USAGE = "usage: standin platform|backend|link OPTIONS";

  private StandIn() {}

  /** Runs the stand-in that the first argument names; exits with 2 on wrong usage. */
  public static void main(String[] arguments) throws Exception {
    System.setProperty("logback.configurationFile", "standin-logback.xml");
    // Without TCP_NODELAY the HTTP server of the JDK delays small responses by up to 40 ms.
    System.setProperty("sun.net.httpserver.nodelay", "true");
    String role = arguments.length == 0 ? "" : arguments[0];
    String[] rest =
        arguments.length == 0 ? arguments : Arrays.copyOfRange(arguments, 1, arguments.length);
    try {
      switch (role) {
        case "platform" -> PlatformProcess.run(rest);
        case "backend" -> BackendProcess.run(rest);
        case "link" -> LinkProcess.run(rest);
        default -> throw new ParseException(USAGE);
      }
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println("standin: " + e.getMessage());
      System.exit(2);
    }
  }
}
