package org.toucanrack.internal.serve.entry;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.generated.EntryDatagram;
import org.toucanrack.internal.protocol.generated.TokenAsk;
import org.toucanrack.internal.protocol.generated.TokenLoan;

/**
 * Lends tokens of customers' rates to other VMs and requests tokens from them. A small rate is
 * divided into shares of a token or two, so a VM may have none while another one has some to spare.
 *
 * <p>Invariant: a token is taken from the lender before it is sent, so a lost datagram loses tokens
 * and never adds any. Confined to the control thread.
 */
final class TokenLoans {

  /**
   * Number of VMs that are asked one after the other; most have a token while the customer is below
   * its rate.
   */
  private static final int MAX_LENDERS = 5;

  /**
   * Number of pending requests that are kept; older ones timed out on the traffic thread long
   * before.
   */
  private static final int MAX_PENDING_REQUESTS = 1024;

  private final BiConsumer<EntryDatagram, InetSocketAddress> sender;
  private final LocalTokens localTokens;
  private final Map<Integer, LoanRequest> pendingRequests =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, LoanRequest> eldest) {
          return size() > MAX_PENDING_REQUESTS;
        }
      };
  private int lastAskId;

  private record LoanRequest(CustomerId customer, Deque<InetSocketAddress> lenders) {}

  /** The tokens of this VM. */
  interface LocalTokens {

    /** Takes a token that this VM can spare; the callback gets whether there was one. */
    void lend(CustomerId customer, Consumer<Boolean> onResult);

    /** Called when another VM has lent a token, or when none of the VMs that were asked had one. */
    void loanCompleted(CustomerId customer, boolean lent);
  }

  TokenLoans(BiConsumer<EntryDatagram, InetSocketAddress> sender, LocalTokens localTokens) {
    this.sender = sender;
    this.localTokens = localTokens;
  }

  /** Requests a token from other VMs, one after the other in this order. */
  void requestToken(CustomerId customer, Collection<InetSocketAddress> lenders) {
    Deque<InetSocketAddress> firstLenders = new ArrayDeque<>();
    lenders.stream().limit(MAX_LENDERS).forEach(firstLenders::add);
    askNextLender(new LoanRequest(customer, firstLenders));
  }

  private void askNextLender(LoanRequest loanRequest) {
    InetSocketAddress lender = loanRequest.lenders().poll();
    if (lender == null) {
      localTokens.loanCompleted(loanRequest.customer(), false);
      return;
    }
    pendingRequests.put(++lastAskId, loanRequest);
    TokenAsk ask =
        TokenAsk.newBuilder()
            .setAskId(lastAskId)
            .setCustomer(loanRequest.customer().value())
            .build();
    sender.accept(EntryDatagram.newBuilder().setTokenAsk(ask).build(), lender);
  }

  void loanRequested(TokenAsk ask, InetSocketAddress from) {
    localTokens.lend(
        new CustomerId(ask.getCustomer()),
        lent -> {
          TokenLoan loan = TokenLoan.newBuilder().setAskId(ask.getAskId()).setLent(lent).build();
          sender.accept(EntryDatagram.newBuilder().setTokenLoan(loan).build(), from);
        });
  }

  void loanReceived(TokenLoan loan) {
    LoanRequest loanRequest = pendingRequests.remove(loan.getAskId());
    if (loanRequest == null) {
      return;
    }
    if (loan.getLent()) {
      localTokens.loanCompleted(loanRequest.customer(), true);
    } else {
      askNextLender(loanRequest);
    }
  }
}
