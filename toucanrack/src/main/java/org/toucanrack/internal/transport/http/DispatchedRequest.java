package org.toucanrack.internal.transport.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.toucanrack.ErrorCode;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.internal.coordination.dispatch.SlotDispatcher;
import org.toucanrack.internal.coordination.dispatch.SlotGrant;
import org.toucanrack.internal.coordination.dispatch.SlotListener;
import org.toucanrack.internal.coordination.dispatch.SlotOutcome;
import org.toucanrack.internal.coordination.rollout.VersionSelector.Observation;
import org.toucanrack.internal.protocol.generated.ForwardAnswer;
import org.toucanrack.internal.protocol.generated.ForwardRequest;
import org.toucanrack.internal.protocol.generated.VerdictCode;

/**
 * One request from its submission to the dispatcher until its answer.
 *
 * <p>Invariant: each grant is released exactly once, and a request is sent to a backend server only
 * if the lease permits it at that time. Thread-safe.
 */
final class DispatchedRequest implements SlotListener {

  private static final int FIRST_SERVER_ERROR = 500;

  private final TrafficCollaborators collaborators;
  private final SlotDispatcher dispatcher;
  private final ForwardRequest request;
  private final long deadlineNanos;
  private final Function<BackendServer, BackendClient> clients;
  private final CompletableFuture<ForwardAnswer> answer = new CompletableFuture<>();
  private volatile boolean cancelled;
  private volatile Runnable cancelCall;

  DispatchedRequest(
      TrafficCollaborators collaborators,
      SlotDispatcher dispatcher,
      ForwardRequest request,
      long deadlineNanos,
      Function<BackendServer, BackendClient> clients) {
    this.collaborators = collaborators;
    this.dispatcher = dispatcher;
    this.request = request;
    this.deadlineNanos = deadlineNanos;
    this.clients = clients;
  }

  CompletableFuture<ForwardAnswer> answer() {
    return answer;
  }

  @Override
  public void granted(SlotGrant grant) {
    long now = collaborators.clock().getAsLong();
    if (!collaborators.snapshot().get().lease().permitsDispatch(now)) {
      dispatcher.release(grant, SlotOutcome.CANCELLED, now);
      answer.complete(ForwardAnswers.notRun(ErrorCode.LEASE_LOST, "This VM may not dispatch now."));
      return;
    }
    BackendClient client = clients.apply(grant.server());
    BackendCall call = client.call(grant.server(), request, deadlineNanos);
    cancelCall = () -> client.cancel(call, grant.server(), request.getRequestId());
    if (cancelled) {
      cancelCall.run();
    }
    call.answer().thenAccept(result -> finish(grant, call, result));
  }

  @Override
  public void refused(ErrorCode code, String reason) {
    answer.complete(ForwardAnswers.notRun(code, reason));
  }

  /** Cancels the request in the queue or on its backend server. */
  void cancel() {
    cancelled = true;
    if (!dispatcher.cancel(request.getRequestId(), collaborators.clock().getAsLong())) {
      Runnable cancellation = cancelCall;
      if (cancellation != null) {
        cancellation.run();
      }
    }
  }

  /** A cancelled request occupies its slot until the backend server has stopped it. */
  private void finish(SlotGrant grant, BackendCall call, ForwardAnswer result) {
    call.stopped()
        .thenRun(
            () -> dispatcher.release(grant, outcomeOf(result), collaborators.clock().getAsLong()));
    answer.complete(result);
    if (outcomeOf(result) != SlotOutcome.CANCELLED) {
      collaborators
          .versionSelector()
          .observe(observation(grant, result, collaborators.clock().getAsLong()));
    }
  }

  private Observation observation(SlotGrant grant, ForwardAnswer result, long now) {
    return new Observation(
        new ServiceId(request.getService()),
        grant.server().version(),
        new RouteId(request.getRoute()),
        new CustomerId(request.getCustomer()),
        outcomeOf(result) != SlotOutcome.SUCCEEDED,
        now - grant.grantedAtNanos(),
        now);
  }

  private static SlotOutcome outcomeOf(ForwardAnswer result) {
    if (result.getVerdict() == VerdictCode.VERDICT_RAN) {
      return result.getStatus() < FIRST_SERVER_ERROR ? SlotOutcome.SUCCEEDED : SlotOutcome.FAILED;
    }
    return switch (ForwardAnswers.codeOf(result)) {
      case OVERLOADED -> SlotOutcome.SHED;
      case OUTCOME_UNKNOWN -> SlotOutcome.CANCELLED;
      case DEADLINE_EXCEEDED -> SlotOutcome.TIMED_OUT;
      default ->
          result.getVerdict() == VerdictCode.VERDICT_NOT_RUN
              ? SlotOutcome.UNREACHABLE
              : SlotOutcome.FAILED;
    };
  }
}
