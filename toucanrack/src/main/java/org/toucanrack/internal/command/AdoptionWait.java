package org.toucanrack.internal.command;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.internal.command.FailureDomainRows.MemberView;
import org.toucanrack.platform.Platform;
import org.toucanrack.platform.Row;
import org.toucanrack.platform.StoreAnswer;

/**
 * Waits until every VM that the failure-domain rows list uses a configuration version. Stateless
 * and thread-safe.
 */
final class AdoptionWait {

  static final Flag WAIT = Flag.toggle("wait", "Waits until every VM uses the version.");
  static final Flag WAIT_SECONDS =
      Flag.of("wait-seconds", "N", "How long to wait for every VM.").withDefault("15");

  private static final long MAX_WAIT_SECONDS = 3_600;
  private static final long POLL_MILLIS = 500;

  private AdoptionWait() {}

  /** Reports faults of the flags. Call it before the command changes anything. */
  static void checkFlags(Settings settings) {
    settings.isOn(WAIT);
    settings.number(WAIT_SECONDS, 1, MAX_WAIT_SECONDS);
  }

  /**
   * Waits if {@code --wait} is set. Throws with {@code NOT_IN_FORCE} and the names of the lagging
   * VMs if the time is up.
   */
  static void await(Settings settings, Platform platform, long version, PrintStream out) {
    if (!settings.isOn(WAIT)) {
      return;
    }
    Duration timeout = Duration.ofSeconds(settings.number(WAIT_SECONDS, 1, MAX_WAIT_SECONDS));
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    String laggingVms = "all VMs (the platform did not answer)";
    do {
      StoreAnswer<List<Row>> answer =
          platform.tables().list(FailureDomainRows.KEY_PREFIX).toCompletableFuture().join();
      if (answer instanceof StoreAnswer.Done<List<Row>> done) {
        List<MemberView> members = FailureDomainRows.members(done.value());
        laggingVms = laggingVms(members, version);
        if (laggingVms.isEmpty()) {
          out.println(
              members.isEmpty()
                  ? "No VM has joined yet; there is nothing to wait for."
                  : "Version %d is in effect on all %d VMs.".formatted(version, members.size()));
          return;
        }
      }
      Pause.millis(POLL_MILLIS);
    } while (System.nanoTime() - deadlineNanos < 0);
    throw new ToucanrackException(
        ErrorCode.NOT_IN_FORCE,
        "Version %d was accepted, but is not in effect after %d s on: %s."
                .formatted(version, timeout.toSeconds(), laggingVms)
            + " Run 'toucanrack status'.");
  }

  private static String laggingVms(List<MemberView> members, long version) {
    return members.stream()
        .filter(member -> member.configurationVersion() < version)
        .map(member -> member.vm() + " (version " + member.versionText() + ")")
        .collect(Collectors.joining(", "));
  }
}
