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
 * <p>Invariants: at most {@link RetryRules#MAX_ATTEMPTS} attempts start; of a request that is not
 * idempotent, at most one attempt may have run; when the request is answered, all other attempts
 * are cancelled. Thread-safe; no collaborator is called while the lock is held.
 */
final class Attempts {

  private static final Logger LOGGER = System.getLogger(Attempts.class.getName());

  private final TrafficCollaborators collaborators;
  private final AttemptRouter router;
  private final AttemptSender sender;
  private final ServiceRetries serviceRetries;
  private final TaskScheduler scheduler;
  private final AdmittedRequest request;
  private final RetryBudget budget;
  private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
  private final Set<Incarnation> failedOwners = new HashSet<>();
  private final List<Attempt> running = new ArrayList<>();
  private Optional<BackendServerId> avoidedServer = Optional.empty();
  private int startedCount;
  private boolean mayHaveRun;

  Attempts(
      TrafficCollaborators collaborators,
      AttemptRouter router,
      AttemptSender sender,
      ServiceRetries serviceRetries,
      TaskScheduler scheduler,
      AdmittedRequest request) {
    this.collaborators = collaborators;
    this.router = router;
    this.sender = sender;
    this.serviceRetries = serviceRetries;
    this.scheduler = scheduler;
    this.request = request;
    this.budget = serviceRetries.budget(request.service());
  }

  CompletableFuture<ForwardAnswer> start() {
    budget.recordFirstAttempt();
    startNext(null);
    if (request.route().idempotent()) {
      serviceRetries
          .hedgeDelay(request)
          .delayNanos()
          .ifPresent(delayNanos -> scheduler.schedule(delayNanos, this::hedge));
    }
    return answer;
  }

  /** Starts the next attempt, or answers with the refusal of the last one. */
  private void startNext(ForwardAnswer previous) {
    AttemptRouter.Choice choice = router.choose(request, version(), failedOwners());
    if (choice.destination() instanceof Destination.Owner owner) {
      launch(choice.version(), owner, owner.onlyIfFree());
    } else if (previous != null) {
      finish(previous);
    } else {
      Destination.None none = (Destination.None) choice.destination();
      finish(ForwardAnswers.notRun(none.code(), none.message()));
    }
  }

  /** Hedges a slow read with a second attempt, which may use only a free slot. */
  private void hedge() {
    if (!answer.isDone() && mayHedge() && budget.tryAcquireExtraAttempt()) {
      withRateToken(this::launchHedge, () -> {});
    }
  }

  /** An attempt that may run in addition to another one counts against the customer's rate. */
  private void withRateToken(Runnable admitted, Runnable refused) {
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
        router.chooseForHedge(request, slow) instanceof Destination.Owner other
                && isInSameFailureDomain(other, slow)
            ? other
            : same;
    launch(slow.version(), target, true);
  }

  /** Hedges do not justify shifting traffic to another failure domain. */
  private static boolean isInSameFailureDomain(Destination.Owner other, Attempt slow) {
    return other.owner().failureDomain().equals(slow.owner().failureDomain());
  }

  private void launch(VersionId version, Destination.Owner target, boolean onlyIfFree) {
    Attempt attempt = register(version, target, onlyIfFree);
    if (attempt == null) {
      return;
    }
    long startedNanos = collaborators.clock().getAsLong();
    router.attemptStarted(attempt.owner(), request.service().id());
    sender
        .send(attempt)
        .whenComplete(
            (result, failure) ->
                onAttemptEnded(
                    attempt,
                    failure == null
                        ? result
                        : ForwardAnswers.mayHaveRun(ErrorCode.INTERNAL, "The attempt failed here."),
                    startedNanos));
  }

  private void onAttemptEnded(Attempt attempt, ForwardAnswer result, long startedNanos) {
    router.attemptEnded(attempt.owner(), request.service().id(), result);
    boolean wasLastRunning = unregister(attempt, result);
    if (!answer.isDone()) {
      try {
        handleResult(result, wasLastRunning, startedNanos);
      } catch (RuntimeException e) {
        LOGGER.log(Level.ERROR, "[traffic] A request failed in this VM.", e);
        finish(ForwardAnswers.mayHaveRun(ErrorCode.INTERNAL, "The request failed in this VM."));
      }
    }
  }

  private void handleResult(ForwardAnswer result, boolean wasLastRunning, long startedNanos) {
    long now = collaborators.clock().getAsLong();
    if (ForwardAnswers.verdictOf(result) == Verdict.RAN) {
      serviceRetries.hedgeDelay(request).record(now - startedNanos);
      finish(result);
    } else if (wasLastRunning) {
      retryOrFinish(result, now);
    }
  }

  private void retryOrFinish(ForwardAnswer result, long now) {
    boolean retryAllowed =
        RetryRules.allowsRetry(
            ForwardAnswers.verdictOf(result),
            ForwardAnswers.codeOf(result),
            request.route().idempotent(),
            startedAttempts(),
            request.deadlineNanos() - now);
    if (!retryAllowed || !budget.tryAcquireExtraAttempt()) {
      finish(result);
    } else if (ForwardAnswers.verdictOf(result) == Verdict.NOT_RUN) {
      startNext(result);
    } else {
      withRateToken(() -> startNext(result), () -> finish(result));
    }
  }

  /** A refusal of the last attempt must not hide that an earlier one may have run. */
  private void finish(ForwardAnswer result) {
    ForwardAnswer reported =
        ForwardAnswers.verdictOf(result) == Verdict.NOT_RUN && anyMayHaveRun()
            ? ForwardAnswers.mayHaveRun(
                ForwardAnswers.codeOf(result),
                "An earlier attempt may have run. " + result.getMessage())
            : result;
    if (answer.complete(reported)) {
      removeAllRunning().forEach(sender::cancel);
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
    if (startedCount >= RetryRules.MAX_ATTEMPTS) {
      return null;
    }
    Attempt attempt =
        new Attempt(request, ++startedCount, version, target.owner(), avoidedServer, onlyIfFree);
    running.add(attempt);
    return attempt;
  }

  /** Returns whether it was the last running attempt; only that one may lead to a retry. */
  private synchronized boolean unregister(Attempt attempt, ForwardAnswer result) {
    running.remove(attempt);
    if (!result.getBackendServer().isEmpty()) {
      avoidedServer = Optional.of(new BackendServerId(result.getBackendServer()));
    }
    if (AttemptRouter.refusalOf(result) != null) {
      failedOwners.add(attempt.owner().incarnation());
    }
    mayHaveRun |= ForwardAnswers.verdictOf(result) == Verdict.MAY_HAVE_RUN;
    return running.isEmpty();
  }

  private synchronized List<Attempt> removeAllRunning() {
    List<Attempt> removed = List.copyOf(running);
    running.clear();
    return removed;
  }

  private synchronized boolean mayHedge() {
    return running.size() == 1 && startedCount < RetryRules.MAX_ATTEMPTS;
  }

  private synchronized Attempt firstRunning() {
    return running.isEmpty() ? null : running.get(0);
  }

  private synchronized Set<Incarnation> failedOwners() {
    return Set.copyOf(failedOwners);
  }

  private synchronized int startedAttempts() {
    return startedCount;
  }

  private synchronized boolean anyMayHaveRun() {
    return mayHaveRun;
  }
}
