package org.toucanrack.standin;

import java.util.Arrays;
import org.apache.commons.cli.ParseException;
import org.toucanrack.standin.backend.BackendProcess;
import org.toucanrack.standin.link.LinkProcess;
import org.toucanrack.standin.platform.PlatformProcess;

/** The main class of the stand-ins for outside systems. */
public final class StandIn {

  private static final String USAGE = "usage: standin platform|backend|link OPTIONS";

  private StandIn() {}

  /** Runs one stand-in. */
  public static void main(String[] arguments) throws Exception {
    System.setProperty("logback.configurationFile", "standin-logback.xml");
    // Without this the JDK server delays small answers by up to 40 ms.
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
