package review;

import java.nio.file.Path;

/** Runs a case and turns its result into an exit code. */
final class Cases {

  private static final int RULE_HELD = 0;
  private static final int RULE_BROKEN = 1;
  private static final int NOT_RUN = 2;

  private Cases() {}

  /** A case. */
  interface Case {

    /**
     * Plays the case.
     *
     * @param trouble whether the disruption takes place
     * @return whether the rule held
     */
    boolean run(Deployment deployment, boolean trouble) throws Exception;
  }

  /** Returns 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
  static int run(Path folder, Case played, String... zones) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Deployment deployment = new Deployment(folder, zones)) {
      Thread endsProcesses = new Thread(() -> deployment.vms.forEach(EntryVm::end));
      Runtime.getRuntime().addShutdownHook(endsProcesses);
      try {
        boolean held = played.run(deployment, trouble);
        deployment.record.result(
            "%s: the rule %s", trouble ? "with the disruption" : "without the disruption",
            held ? "held" : "was broken");
        return held ? RULE_HELD : RULE_BROKEN;
      } catch (Exception e) {
        deployment.record.result("the case could not run: %s", e);
        deployment.record.line("%s", deployment.logs());
        return NOT_RUN;
      }
    } catch (Exception e) {
      System.out.println("the case could not run: " + e);
      return NOT_RUN;
    }
  }
}
