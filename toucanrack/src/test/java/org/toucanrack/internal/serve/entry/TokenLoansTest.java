package org.toucanrack.internal.serve.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.CustomerId;
import org.toucanrack.internal.protocol.generated.EntryDatagram;
import org.toucanrack.internal.protocol.generated.TokenAsk;
import org.toucanrack.internal.protocol.generated.TokenLoan;

class TokenLoansTest {

  private static final CustomerId CUSTOMER = new CustomerId("c");
  private static final InetSocketAddress ONE = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress TWO = new InetSocketAddress("127.0.0.1", 2);

  private final List<EntryDatagram> sentDatagrams = new ArrayList<>();
  private final List<InetSocketAddress> targets = new ArrayList<>();
  private final List<Boolean> loanResults = new ArrayList<>();
  private boolean hasTokenToLend;
  private final TokenLoans loans =
      new TokenLoans(
          (datagram, to) -> {
            sentDatagrams.add(datagram);
            targets.add(to);
          },
          new TokenLoans.LocalTokens() {
            @Override
            public void lend(CustomerId customer, Consumer<Boolean> onResult) {
              onResult.accept(hasTokenToLend);
            }

            @Override
            public void loanCompleted(CustomerId customer, boolean lent) {
              loanResults.add(lent);
            }
          });

  // Guards against refusing a request although the second VM that is asked has a token.
  @Test
  void asksTheNextVmWhenTheFirstHasNoToken() {
    loans.requestToken(CUSTOMER, List.of(ONE, TWO));
    loans.loanReceived(loanFor(0, false));
    loans.loanReceived(loanFor(1, true));

    assertEquals(List.of(ONE, TWO), targets);
    assertEquals(List.of(true), loanResults);
  }

  // Guards against requests that keep waiting although no VM has a token.
  @Test
  void reportsFailureWhenNoVmLendsTokens() {
    loans.requestToken(CUSTOMER, List.of(ONE));
    loans.loanReceived(loanFor(0, false));

    assertEquals(List.of(false), loanResults);
  }

  // Guards against using a token twice when its datagram arrives twice.
  @Test
  void usesEachLoanOnce() {
    loans.requestToken(CUSTOMER, List.of(ONE));
    loans.loanReceived(loanFor(0, true));
    loans.loanReceived(loanFor(0, true));

    assertEquals(List.of(true), loanResults);
  }

  // Guards against lending a token that the lender does not have.
  @Test
  void lendsTokensOnlyWhenAvailable() {
    TokenAsk ask = TokenAsk.newBuilder().setAskId(7).setCustomer("c").build();

    loans.loanRequested(ask, ONE);
    hasTokenToLend = true;
    loans.loanRequested(ask, ONE);

    assertFalse(sentDatagrams.get(0).getTokenLoan().getLent());
    assertTrue(sentDatagrams.get(1).getTokenLoan().getLent());
    assertEquals(7, sentDatagrams.get(1).getTokenLoan().getAskId());
  }

  private TokenLoan loanFor(int askIndex, boolean lent) {
    int id = sentDatagrams.get(askIndex).getTokenAsk().getAskId();
    return TokenLoan.newBuilder().setAskId(id).setLent(lent).build();
  }
}
