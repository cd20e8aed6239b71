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

  private final List<EntryDatagram> sent = new ArrayList<>();
  private final List<InetSocketAddress> targets = new ArrayList<>();
  private final List<Boolean> answers = new ArrayList<>();
  private boolean hasToken;
  private final TokenLoans loans =
      new TokenLoans(
          (datagram, to) -> {
            sent.add(datagram);
            targets.add(to);
          },
          new TokenLoans.Desk() {
            @Override
            public void lend(CustomerId customer, Consumer<Boolean> lent) {
              lent.accept(hasToken);
            }

            @Override
            public void answered(CustomerId customer, boolean lent) {
              answers.add(lent);
            }
          });

  // Guards against a request that is refused while the second VM asked has a token.
  @Test
  void asksTheNextVmWhenOneHasNoToken() {
    loans.ask(CUSTOMER, List.of(ONE, TWO));
    loans.received(answer(0, false));
    loans.received(answer(1, true));

    assertEquals(List.of(ONE, TWO), targets);
    assertEquals(List.of(true), answers);
  }

  // Guards against requests that wait although no VM has a token.
  @Test
  void saysSoWhenNoVmHasTokens() {
    loans.ask(CUSTOMER, List.of(ONE));
    loans.received(answer(0, false));

    assertEquals(List.of(false), answers);
  }

  // Guards against a token that is used twice since its datagram arrived twice.
  @Test
  void usesEachLoanOnce() {
    loans.ask(CUSTOMER, List.of(ONE));
    loans.received(answer(0, true));
    loans.received(answer(0, true));

    assertEquals(List.of(true), answers);
  }

  // Guards against a lender that promises a token which it does not have.
  @Test
  void lendsOnlyWhatTheDeskGives() {
    TokenAsk ask = TokenAsk.newBuilder().setAskId(7).setCustomer("c").build();
    loans.asked(ask, ONE);
    hasToken = true;
    loans.asked(ask, ONE);

    assertFalse(sent.get(0).getTokenLoan().getLent());
    assertTrue(sent.get(1).getTokenLoan().getLent());
    assertEquals(7, sent.get(1).getTokenLoan().getAskId());
  }

  private TokenLoan answer(int question, boolean lent) {
    int id = sent.get(question).getTokenAsk().getAskId();
    return TokenLoan.newBuilder().setAskId(id).setLent(lent).build();
  }
}
