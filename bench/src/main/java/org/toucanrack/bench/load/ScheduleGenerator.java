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

/** Generates schedules with Poisson arrivals. The same seed gives the same schedule. */
public final class ScheduleGenerator {

  /** Share of the first service; most traffic of both example deployments is reads of it. */
  private static final double FIRST_SERVICE_SHARE = 0.6;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int ITEM_COUNT = 1000;

  /** A route and its share of a customer's requests. */
  private record WeightedRoute(Service service, Route route, double share) {}

  private final Layout layout;
  private final long seed;
  private final String idPrefix;

  /** Creates a generator; all request ids start with the prefix. */
  public ScheduleGenerator(Layout layout, long seed, String idPrefix) {
    this.layout = layout;
    this.seed = seed;
    this.idPrefix = idPrefix;
  }

  /** The request rate of customers over time, as a multiple of their configured rate. */
  public interface Demand {

    /** Returns a customer's multiplier as a function of the time in seconds. */
    DoubleUnaryOperator multiplier(Customer customer);

    /** Returns an upper bound of a customer's multiplier. */
    double peakMultiplier(Customer customer);

    /** Returns a demand that is constant over time and equal for all customers. */
    static Demand constant(double multiplier) {
      return new Demand() {
        @Override
        public DoubleUnaryOperator multiplier(Customer customer) {
          return second -> multiplier;
        }

        @Override
        public double peakMultiplier(Customer customer) {
          return multiplier;
        }
      };
    }
  }

  /** Returns all requests of a run, ordered by due time. */
  public List<PlannedRequest> generate(double seconds, Demand demand) {
    List<PlannedRequest> requests = new ArrayList<>();
    int customerIndex = 0;
    for (Customer customer : layout.keyedCustomers()) {
      Random random = new Random(seed * 31 + customerIndex++);
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
    TokenBucket rateBucket = new TokenBucket(customer.requestsPerSecond(), customer.burst(), 0);
    double peakRequestsPerSecond = demand.peakMultiplier(customer) * customer.requestsPerSecond();
    DoubleUnaryOperator multiplier = demand.multiplier(customer);
    List<WeightedRoute> weightedRoutes = weightedRoutes();
    int sequence = 0;
    double arrivalSeconds = 0;
    while (true) {
      arrivalSeconds += -Math.log(1 - random.nextDouble()) / peakRequestsPerSecond;
      if (arrivalSeconds >= seconds) {
        return;
      }
      // Thinning: keeps arrivals of the peak rate with probability current rate / peak rate.
      boolean kept =
          random.nextDouble() * demand.peakMultiplier(customer)
              < multiplier.applyAsDouble(arrivalSeconds);
      if (kept) {
        long offset = (long) (arrivalSeconds * NANOS_PER_SECOND);
        String id = idPrefix + "-" + customer.id().value() + "-" + sequence++;
        WeightedRoute weightedRoute = chooseRoute(weightedRoutes, random.nextDouble());
        boolean open = weightedRoute.route().open();
        requests.add(
            request(
                weightedRoute, id, offset, customer, random, open || rateBucket.tryTake(offset)));
      }
    }
  }

  private static PlannedRequest request(
      WeightedRoute weightedRoute,
      String id,
      long offset,
      Customer customer,
      Random random,
      boolean withinRate) {
    Route route = weightedRoute.route();
    String method = route.methods().isEmpty() ? "GET" : route.methods().iterator().next();
    String base = route.pathPrefix().endsWith("/") ? route.pathPrefix() : route.pathPrefix() + "/";
    return new PlannedRequest(
        id,
        offset,
        route.open() ? Layout.ANONYMOUS : customer.id().value(),
        weightedRoute.service().id().value(),
        route.id().value(),
        method,
        base + "item-" + random.nextInt(ITEM_COUNT),
        route.idempotent(),
        route.open(),
        withinRate);
  }

  /** Spreads a customer's requests over all routes that need a key. */
  private List<WeightedRoute> weightedRoutes() {
    List<WeightedRoute> weightedRoutes = new ArrayList<>();
    List<Service> services = layout.deployment().services();
    for (int i = 0; i < services.size(); i++) {
      double share =
          i == 0 ? FIRST_SERVICE_SHARE : (1 - FIRST_SERVICE_SHARE) / (services.size() - 1);
      List<Route> routes =
          services.get(i).routes().stream().filter(route -> !route.open()).toList();
      for (Route route : routes) {
        weightedRoutes.add(new WeightedRoute(services.get(i), route, share / routes.size()));
      }
    }
    return weightedRoutes;
  }

  private static WeightedRoute chooseRoute(List<WeightedRoute> weightedRoutes, double draw) {
    double remaining = draw;
    for (WeightedRoute weightedRoute : weightedRoutes) {
      remaining -= weightedRoute.share();
      if (remaining < 0) {
        return weightedRoute;
      }
    }
    return weightedRoutes.get(weightedRoutes.size() - 1);
  }
}
