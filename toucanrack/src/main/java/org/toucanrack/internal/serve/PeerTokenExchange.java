package org.toucanrack.internal.serve;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.Incarnation;
import org.toucanrack.internal.coordination.limit.TokenExchange;
import org.toucanrack.internal.coordination.limit.TokenLender;
import org.toucanrack.internal.coordination.limit.TokenLoan;
import org.toucanrack.internal.protocol.generated.PeerEnvelope;
import org.toucanrack.internal.protocol.generated.TokenAnswer;
import org.toucanrack.internal.protocol.generated.TokenRequest;
import org.toucanrack.internal.state.ControlSnapshot;
import org.toucanrack.internal.state.Member;
import org.toucanrack.internal.transport.peer.PeerTransport;

/** Requests rate tokens from other VMs and answers their requests. Thread-safe. */
final class PeerTokenExchange implements TokenExchange {

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(200);

  private final PeerTransport peers;
  private final Supplier<ControlSnapshot> snapshot;

  PeerTokenExchange(PeerTransport peers, Supplier<ControlSnapshot> snapshot) {
    this.peers = peers;
    this.snapshot = snapshot;
  }

  /** Answers requests of other VMs with tokens of the lender. */
  void answerTokenRequests(TokenLender lender, LongSupplier clock) {
    peers.registerHandler(
        PeerEnvelope.BodyCase.TOKEN_REQUEST,
        (sender, envelope) -> {
          TokenRequest request = envelope.getTokenRequest();
          CustomerId customer = new CustomerId(request.getCustomer());
          TokenLoan loan = lender.lend(customer, request.getTokens(), clock.getAsLong());
          return CompletableFuture.completedFuture(encodeLoan(loan));
        });
  }

  @Override
  public CompletionStage<TokenLoan> request(
      Incarnation lender, CustomerId customer, double tokens) {
    Member member = snapshot.get().members().get(lender);
    if (member == null) {
      return CompletableFuture.failedFuture(
          new IllegalStateException("No address is known for " + lender + "."));
    }
    TokenRequest.Builder request =
        TokenRequest.newBuilder().setCustomer(customer.value()).setTokens(tokens);
    return peers
        .request(
            member.peersAddress(),
            PeerEnvelope.newBuilder().setTokenRequest(request).build(),
            REQUEST_TIMEOUT)
        .thenApply(PeerTokenExchange::decodeLoan);
  }

  private static TokenLoan decodeLoan(PeerEnvelope envelope) {
    TokenAnswer answer = envelope.getTokenAnswer();
    return new TokenLoan(answer.getTokens(), answer.getRetryAfterMillis());
  }

  private static PeerEnvelope encodeLoan(TokenLoan loan) {
    return PeerEnvelope.newBuilder()
        .setTokenAnswer(
            TokenAnswer.newBuilder()
                .setTokens(loan.tokens())
                .setRetryAfterMillis(loan.retryAfterMillis()))
        .build();
  }
}
