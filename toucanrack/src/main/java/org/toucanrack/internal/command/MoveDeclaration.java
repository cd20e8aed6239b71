package org.toucanrack.internal.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Optional;
import org.toucanrack.ErrorCode;
import org.toucanrack.ToucanrackException;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.MoveId;
import org.toucanrack.id.ServiceId;

/**
 * The parameters of a move, as an operator declares it. Immutable and thread-safe.
 *
 * @param service service whose traffic is moved
 * @param from failure domain or region that the traffic leaves
 * @param to failure domain or region that the traffic goes to
 * @param cap largest fraction of the service's traffic per window; empty for the deployment's rule
 * @param step fraction per step; empty for the cap
 * @param window length of the window of the cap; empty for the deployment's rule
 * @param deadline time by which the move must be complete
 * @param reason reason for the move, in one sentence
 */
record MoveDeclaration(
    ServiceId service,
    String from,
    String to,
    Optional<Double> cap,
    Optional<Double> step,
    Optional<Duration> window,
    Instant deadline,
    String reason) {

  static final Flag SERVICE = Flag.of("service", "NAME", "The service; for 'start'.");
  static final Flag FROM =
      Flag.of("from", "NAME", "Failure domain or region that the traffic leaves; for 'start'.");
  static final Flag TO =
      Flag.of("to", "NAME", "Failure domain or region that the traffic goes to; for 'start'.");
  static final Flag CAP =
      Flag.of("cap", "FRACTION", "Largest shift per window; the deployment's rule if not given.");
  static final Flag STEP = Flag.of("step", "FRACTION", "Shift per step; the cap if not given.");
  static final Flag WINDOW_SECONDS =
      Flag.of("window-seconds", "N", "Window of the cap; the deployment's rule if not given.");
  static final Flag DEADLINE =
      Flag.of("deadline", "TIME", "When the move must be done, in UTC; for 'start'.");
  static final Flag REASON =
      Flag.of("reason", "TEXT", "Why, in one sentence.").withDefault("Started by an operator.");

  private static final long MAX_WINDOW_SECONDS = 3_600;

  /** Reads the flags and reports their faults. Empty if a required flag is missing or invalid. */
  static Optional<MoveDeclaration> read(Settings settings) {
    Optional<ServiceId> service = settings.parsed(SERVICE, ServiceId::new);
    Optional<FailureDomainId> from = settings.parsed(FROM, FailureDomainId::new);
    Optional<FailureDomainId> to = settings.parsed(TO, FailureDomainId::new);
    Optional<Double> cap = settings.optional(CAP).map(text -> settings.fraction(CAP));
    Optional<Double> step = settings.optional(STEP).map(text -> settings.fraction(STEP));
    Optional<Duration> window =
        settings
            .optional(WINDOW_SECONDS)
            .map(text -> settings.number(WINDOW_SECONDS, 1, MAX_WINDOW_SECONDS))
            .map(Duration::ofSeconds);
    Optional<Instant> deadline = settings.parsed(DEADLINE, MoveDeclaration::parseInstant);
    if (service.isEmpty() || from.isEmpty() || to.isEmpty() || deadline.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new MoveDeclaration(
            service.get(),
            from.get().value(),
            to.get().value(),
            cap,
            step,
            window,
            deadline.get(),
            settings.required(REASON)));
  }

  /**
   * Returns the record of a new move. Throws with {@code INVALID_SETTINGS} if the deployment does
   * not permit the move.
   */
  ObjectNode newRecord(MoveId id, Deployment deployment, Instant now) {
    ShiftRule rule = deployment.rules().shift();
    double capFraction = cap.orElse(rule.capFraction());
    Duration capWindow = window.orElse(rule.window());
    double stepFraction = step.orElse(capFraction);
    checkSourceAndTarget(deployment);
    require(
        capFraction <= rule.capFraction() && capWindow.compareTo(rule.window()) >= 0,
        "The rule permits a shift of %s per %d s. Write a smaller cap or a longer window."
            .formatted(rule.capFraction(), rule.window().toSeconds()));
    require(stepFraction <= capFraction, "The step is larger than the cap. Write a smaller step.");
    long minimumSeconds = (long) Math.ceil(1 / capFraction) * capWindow.toSeconds();
    require(
        !now.plusSeconds(minimumSeconds).isAfter(deadline),
        "The move needs at least %d s with this cap. Write a deadline of %s or later."
            .formatted(
                minimumSeconds,
                now.plusSeconds(minimumSeconds + 1).truncatedTo(ChronoUnit.SECONDS)));
    return JsonRowStore.JSON
        .createObjectNode()
        .put("id", id.value())
        .put("service", service.value())
        .put("from", from)
        .put("to", to)
        .put("cap", capFraction)
        .put("step", stepFraction)
        .put("windowMillis", capWindow.toMillis())
        .put("remainingMillis", Duration.between(now, deadline).toMillis())
        .put("abortRequested", false)
        .put("deadline", deadline.toString())
        .put("state", MoveText.RUNNING)
        .put("split", 0.0)
        .put("reason", reason);
  }

  private void checkSourceAndTarget(Deployment deployment) {
    require(
        deployment.service(service).isPresent(),
        "There is no service '%s'. Run 'toucanrack get' for the names.".formatted(service));
    List<FailureDomainId> source = failureDomains(deployment, from);
    List<FailureDomainId> target = failureDomains(deployment, to);
    require(
        source.stream().noneMatch(target::contains),
        "'%s' and '%s' share a failure domain. Name two separate places.".formatted(from, to));
  }

  private static List<FailureDomainId> failureDomains(Deployment deployment, String name) {
    for (Region region : deployment.regions()) {
      if (region.id().value().equals(name)) {
        return region.failureDomains();
      }
    }
    FailureDomainId domain = new FailureDomainId(name);
    require(
        deployment.failureDomains().contains(domain),
        "There is no failure domain or region '%s'. Run 'toucanrack get' for the names."
            .formatted(name));
    return List.of(domain);
  }

  private static Instant parseInstant(String text) {
    try {
      return Instant.parse(text);
    } catch (DateTimeParseException e) {
      throw new ToucanrackException(
          ErrorCode.INVALID_SETTINGS,
          "'%s' is not a time. Write one in UTC, for example 2027-01-31T18:00:00Z.".formatted(text),
          e);
    }
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new ToucanrackException(ErrorCode.INVALID_SETTINGS, message);
    }
  }
}
