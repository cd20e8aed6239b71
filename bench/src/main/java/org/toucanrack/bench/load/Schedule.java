package org.toucanrack.bench.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Service;

/** Makes schedules with Poisson arrivals. The same seed gives the same schedule. */
public final class Schedule {

  /** Share of the first service; the traffic of both deployments is mostly reads of it. */
  private static final double FIRST_SERVICE_SHARE = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ITEMS = 1000;

  /** A route with its share of a customer's requests. */
  private record Target(Service service, Route route, double share) {}

  private final Layout layout;
  private final long seed;
  private final String prefix;

  /** Creates a maker of schedules; ids of requests start with the prefix. */
  public Schedule(Layout layout, long seed, String prefix) {
    this.layout = layout;
    this.seed = seed;
    this.prefix = prefix;
  }

  /** How much a customer sends, as a multiple of its rate, at a time in seconds. */
  public interface Demand {

    /** Returns the multiple over time for a customer. */
    DoubleUnaryOperator of(Customer customer);

    /** Returns an upper bound of the multiple for a customer. */
    double peak(Customer customer);

    /** Returns a constant demand. */
    static Demand constant(double multiple) {
      return new Demand() {
        @Override
        public DoubleUnaryOperator of(Customer customer) {
          return second -> multiple;
        }

        @Override
        public double peak(Customer customer) {
          return multiple;
        }
      };
    }
  }

  /** Returns all requests of a run, ordered by time. */
  public List<PlannedRequest> make(double seconds, Demand demand) {
    List<PlannedRequest> requests = new ArrayList<>();
    int place = 0;
    for (Customer customer : layout.keyedCustomers()) {
      Random random = new Random(seed * 31 + place++);
      addCustomer(requests, customer, seconds, demand, random);
    }
    requests.sort(Comparator.comparingLong(PlannedRequest::offsetNanos));
    return requests;
  }

  private void addCustomer(
      List<PlannedRequest> requests,
      Customer customer,
      double seconds,
      Demand demand,
      Random random) {
    TokenBucket exact = new TokenBucket(customer.requestsPerSecond(), customer.burst(), 0);
    double peakRate = demand.peak(customer) * customer.requestsPerSecond();
    DoubleUnaryOperator multiple = demand.of(customer);
    List<Target> targets = targets();
    int number = 0;
    double second = 0;
    while (true) {
      second += -Math.log(1 - random.nextDouble()) / peakRate;
      if (second >= seconds) {
        return;
      }
      // Thinning: arrivals at the peak rate are kept with the probability of the present rate.
      boolean kept = random.nextDouble() * demand.peak(customer) < multiple.applyAsDouble(second);
      if (kept) {
        long offset = (long) (second * NANOS_PER_SECOND);
        String id = prefix + "-" + customer.id().value() + "-" + number++;
        Target target = choose(targets, random.nextDouble());
        boolean open = target.route().open();
        requests.add(request(target, id, offset, customer, random, open || exact.take(offset)));
      }
    }
  }

  private static PlannedRequest request(
      Target target, String id, long offset, Customer customer, Random random, boolean within) {
    Route route = target.route();
    String method = route.methods().isEmpty() ? "GET" : route.methods().iterator().next();
    String base = route.pathPrefix().endsWith("/") ? route.pathPrefix() : route.pathPrefix() + "/";
    return new PlannedRequest(
        id,
        offset,
        route.open() ? Layout.ANONYMOUS : customer.id().value(),
        target.service().id().value(),
        route.id().value(),
        method,
        base + "item-" + random.nextInt(ITEMS),
        route.idempotent(),
        route.open(),
        within);
  }

  /** Spreads the requests of a customer over all routes that need a key. */
  private List<Target> targets() {
    List<Target> targets = new ArrayList<>();
    List<Service> services = layout.deployment().services();
    for (int i = 0; i < services.size(); i++) {
      double share =
          i == 0 ? FIRST_SERVICE_SHARE : (1 - FIRST_SERVICE_SHARE) / (services.size() - 1);
      List<Route> routes =
          services.get(i).routes().stream().filter(route -> !route.open()).toList();
      for (Route route : routes) {
        targets.add(new Target(services.get(i), route, share / routes.size()));
      }
    }
    return targets;
  }

  private static Target choose(List<Target> targets, double draw) {
    double left = draw;
    for (Target target : targets) {
      left -= target.share();
      if (left < 0) {
        return target;
      }
    }
    return targets.get(targets.size() - 1);
  }
}
