package org.toucanrack.internal.transport.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.toucanrack.ErrorCode;
import org.toucanrack.Verdict;
import org.toucanrack.id.BackendServerId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.id.VersionId;
import org.toucanrack.internal.coordination.retry.RetryBudget;
import org.toucanrack.internal.coordination.retry.RetryRules;
import org.toucanrack.internal.coordination.routing.Destination;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;

/**
 * All attempts of one request: the first, retries and at most one hedged read.
 *
 * <p>Invariants: at most {@link RetryRules#MAX_ATTEMPTS} attempts start; a request that is not
 * idempotent has at most one attempt that is not known to be not run; when the answer is given, all
 * other attempts are cancelled. Thread-safe; no collaborator is called while the lock is held.
 */
final class Attempts {

  private static final Logger LOGGER = System.getLogger(Attempts.class.getName());

  private final TrafficCollaborators collaborators;
  private final Routing routing;
  private final AttemptSender sender;
  private final ServiceRetries retries;
  private final Timers timers;
  private final AdmittedRequest request;
  private final RetryBudget budget;
  private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
  private final Set<Incarnation> failed = new HashSet<>();
  private final List<Attempt> running = new ArrayList<>();
  private Optional<BackendServerId> avoided = Optional.empty();
  private int started;
  private boolean mayHaveRun;

  Attempts(
      TrafficCollaborators collaborators,
      Routing routing,
      AttemptSender sender,
      ServiceRetries retries,
      Timers timers,
      AdmittedRequest request) {
    this.collaborators = collaborators;
    this.routing = routing;
    this.sender = sender;
    this.retries = retries;
    this.timers = timers;
    this.request = request;
    this.budget = retries.budget(request.service());
  }

  CompletableFuture<ForwardAnswer> start() {
    budget.recordFirstAttempt();
    next(null);
    if (request.route().idempotent()) {
      retries
          .hedgeDelay(request)
          .delayNanos()
          .ifPresent(delayNanos -> timers.after(delayNanos, this::hedge));
    }
    return answer;
  }

  /** Starts the next attempt, or answers with the refusal of the last one. */
  private void next(ForwardAnswer last) {
    Routing.Choice choice = routing.choose(request, version(), failedOwners());
    if (choice.destination() instanceof Destination.Owner owner) {
      launch(choice.version(), owner, owner.onlyIfFree());
    } else if (last != null) {
      finish(last);
    } else {
      Destination.None none = (Destination.None) choice.destination();
      finish(Answers.notRun(none.code(), none.message()));
    }
  }

  /** Sends a second copy of a slow read into a free slot. */
  private void hedge() {
    if (!answer.isDone() && mayHedge() && budget.tryAcquireExtraAttempt()) {
      withToken(this::launchHedge, () -> {});
    }
  }

  /** An attempt that may run beside or after another one counts against the customer's rate. */
  private void withToken(Runnable admitted, Runnable refused) {
    collaborators
        .rateLimiter()
        .acquire(request.customer(), collaborators.clock().getAsLong())
        .thenAccept(decision -> (decision.admitted() ? admitted : refused).run());
  }

  private void launchHedge() {
    if (answer.isDone()) {
      return;
    }
    Attempt slow = firstRunning();
    if (slow == null) {
      return;
    }
    Destination.Owner same = new Destination.Owner(slow.owner(), true);
    Destination.Owner target =
        routing.chooseForHedge(request, slow) instanceof Destination.Owner other
                && isNear(other, slow)
            ? other
            : same;
    launch(slow.version(), target, true);
  }

  /** A hedge is not worth a shift to another failure domain. */
  private static boolean isNear(Destination.Owner other, Attempt slow) {
    return other.owner().failureDomain().equals(slow.owner().failureDomain());
  }

  private void launch(VersionId version, Destination.Owner target, boolean onlyIfFree) {
    Attempt attempt = register(version, target, onlyIfFree);
    if (attempt == null) {
      return;
    }
    long beganNanos = collaborators.clock().getAsLong();
    routing.begin(attempt.owner(), request.service().id());
    sender
        .send(attempt)
        .whenComplete(
            (result, failure) ->
                ended(
                    attempt,
                    failure == null
                        ? result
                        : Answers.mayHaveRun(ErrorCode.INTERNAL, "The attempt failed here."),
                    beganNanos));
  }

  private void ended(Attempt attempt, ForwardAnswer result, long beganNanos) {
    routing.end(attempt.owner(), request.service().id(), result);
    boolean last = unregister(attempt, result);
    if (!answer.isDone()) {
      try {
        decide(result, last, beganNanos);
      } catch (RuntimeException e) {
        LOGGER.log(Level.ERROR, "[traffic] A request failed in this VM.", e);
        finish(Answers.mayHaveRun(ErrorCode.INTERNAL, "The request failed in this VM."));
      }
    }
  }

  private void decide(ForwardAnswer result, boolean last, long beganNanos) {
    long now = collaborators.clock().getAsLong();
    if (Answers.verdictOf(result) == Verdict.RAN) {
      retries.hedgeDelay(request).record(now - beganNanos);
      finish(result);
    } else if (last) {
      repeatOrFinish(result, now);
    }
  }

  private void repeatOrFinish(ForwardAnswer result, long now) {
    boolean repeats =
        RetryRules.allowsRetry(
            Answers.verdictOf(result),
            Answers.codeOf(result),
            request.route().idempotent(),
            startedAttempts(),
            request.deadlineNanos() - now);
    if (!repeats || !budget.tryAcquireExtraAttempt()) {
      finish(result);
    } else if (Answers.verdictOf(result) == Verdict.NOT_RUN) {
      next(result);
    } else {
      withToken(() -> next(result), () -> finish(result));
    }
  }

  /** A refusal of the last attempt must not hide that an earlier one may have run. */
  private void finish(ForwardAnswer result) {
    ForwardAnswer honest =
        Answers.verdictOf(result) == Verdict.NOT_RUN && anyMayHaveRun()
            ? Answers.mayHaveRun(
                Answers.codeOf(result), "An earlier attempt may have run. " + result.getMessage())
            : result;
    if (answer.complete(honest)) {
      takeRunning().forEach(sender::cancel);
    }
  }

  private VersionId version() {
    return collaborators
        .versionSelector()
        .select(
            request.service().id(),
            request.route().id(),
            request.customer(),
            collaborators.clock().getAsLong());
  }

  private synchronized Attempt register(
      VersionId version, Destination.Owner target, boolean onlyIfFree) {
    if (started >= RetryRules.MAX_ATTEMPTS) {
      return null;
    }
    Attempt attempt = new Attempt(request, ++started, version, target.owner(), avoided, onlyIfFree);
    running.add(attempt);
    return attempt;
  }

  /** Returns whether it was the last running attempt, which then decides what follows. */
  private synchronized boolean unregister(Attempt attempt, ForwardAnswer result) {
    running.remove(attempt);
    if (!result.getBackendServer().isEmpty()) {
      avoided = Optional.of(new BackendServerId(result.getBackendServer()));
    }
    if (Routing.refusalOf(result) != null) {
      failed.add(attempt.owner().incarnation());
    }
    mayHaveRun |= Answers.verdictOf(result) == Verdict.MAY_HAVE_RUN;
    return running.isEmpty();
  }

  private synchronized List<Attempt> takeRunning() {
    List<Attempt> taken = List.copyOf(running);
    running.clear();
    return taken;
  }

  private synchronized boolean mayHedge() {
    return running.size() == 1 && started < RetryRules.MAX_ATTEMPTS;
  }

  private synchronized Attempt firstRunning() {
    return running.isEmpty() ? null : running.get(0);
  }

  private synchronized Set<Incarnation> failedOwners() {
    return Set.copyOf(failed);
  }

  private synchronized int startedAttempts() {
    return started;
  }

  private synchronized boolean anyMayHaveRun() {
    return mayHaveRun;
  }
}
