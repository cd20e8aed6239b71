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
 * Passes tokens of customers' rates between VMs. A small rate is divided into parts of a token or
 * two, so a VM may have none while another one has some to spare.
 *
 * <p>Invariant: a token is taken from the lender before it is given, so a lost datagram loses
 * tokens and never adds any. Confined to the control thread.
 */
final class TokenLoans {

  /** VMs that are asked one after the other; most of them have a token below the rate. */
  private static final int MAX_LENDERS = 3;

  /** Questions that are remembered; older ones were given up by the traffic thread long before. */
  private static final int MAX_OPEN = 1024;

  private final BiConsumer<EntryDatagram, InetSocketAddress> sender;
  private final Desk desk;
  private final Map<Integer, Question> open =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Question> eldest) {
          return size() > MAX_OPEN;
        }
      };
  private int lastId;

  private record Question(CustomerId customer, Deque<InetSocketAddress> lenders) {}

  /** Keeps the tokens of this VM. */
  interface Desk {

    /** Takes a token to spare, and says whether there was one. */
    void lend(CustomerId customer, Consumer<Boolean> lent);

    /** Another VM gave a token, or none of those asked had one. */
    void answered(CustomerId customer, boolean lent);
  }

  TokenLoans(BiConsumer<EntryDatagram, InetSocketAddress> sender, Desk desk) {
    this.sender = sender;
    this.desk = desk;
  }

  /** Asks other VMs for a token, in this order. */
  void ask(CustomerId customer, Collection<InetSocketAddress> lenders) {
    Deque<InetSocketAddress> first = new ArrayDeque<>();
    lenders.stream().limit(MAX_LENDERS).forEach(first::add);
    askNext(new Question(customer, first));
  }

  private void askNext(Question question) {
    InetSocketAddress lender = question.lenders().poll();
    if (lender == null) {
      desk.answered(question.customer(), false);
      return;
    }
    open.put(++lastId, question);
    TokenAsk ask =
        TokenAsk.newBuilder().setAskId(lastId).setCustomer(question.customer().value()).build();
    sender.accept(EntryDatagram.newBuilder().setTokenAsk(ask).build(), lender);
  }

  void asked(TokenAsk ask, InetSocketAddress from) {
    desk.lend(
        new CustomerId(ask.getCustomer()),
        lent -> {
          TokenLoan loan = TokenLoan.newBuilder().setAskId(ask.getAskId()).setLent(lent).build();
          sender.accept(EntryDatagram.newBuilder().setTokenLoan(loan).build(), from);
        });
  }

  void received(TokenLoan loan) {
    Question question = open.remove(loan.getAskId());
    if (question == null) {
      return;
    }
    if (loan.getLent()) {
      desk.answered(question.customer(), true);
    } else {
      askNext(question);
    }
  }
}
