package org.toucanrack.bench.measure;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.BaselineCaller;
import org.toucanrack.bench.load.Schedule;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Service;

/** What happens in a measurement: the demand of customers, and faults on the way. */
public enum Scenario {
  /** Half of the rates; one backend server drains. */
  CALM(0.5),
  /** The first service has two thirds of the capacity that its demand needs. */
  OVERLOAD(0.9),
  /** The first customer sends five times its rate. */
  GREEDY(0.5),
  /** The platform refuses one failure domain. */
  CUT(0.5),
  /** All VMs and backend servers of the last region are lost. */
  REGION_LOSS(0.4),
  /** The platform is down. */
  STORE_DOWN(0.5),
  /** One entry VM is killed. */
  VM_KILL(0.5),
  /** Quiet, then all customers at once with servers that are cold. */
  DAWN(0.9);

  private static final double GREEDY_MULTIPLE = 5;
  private static final double OVERLOAD_FACTOR = 1.5;
  private static final double QUIET_MULTIPLE = 0.1;
  private static final double RUSH_MULTIPLE = 2;
  private static final double RUSH_SECONDS = 2;
  private static final double FIRST_SERVICE_SHARE = 0.6;
  private static final double LOGNORMAL_MEAN_OVER_MEDIAN = 1.083;
  private static final double MILLIS_PER_SECOND = 1000;

  private final double multiple;

  Scenario(double multiple) {
    this.multiple = multiple;
  }

  /** Returns the scenario with a name like {@code region-loss}. */
  public static Scenario named(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /** Returns the name on the command line. */
  public String commandName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the demand of the customers over a run of this length. */
  public Schedule.Demand demand(Layout layout, double seconds) {
    if (this == DAWN) {
      return new Dawn(eventSecond(seconds), multiple);
    }
    Customer greedy = layout.keyedCustomers().get(0);
    Schedule.Demand usual = Schedule.Demand.constant(multiple);
    Schedule.Demand heavy = Schedule.Demand.constant(GREEDY_MULTIPLE);
    return new Schedule.Demand() {
      @Override
      public DoubleUnaryOperator of(Customer customer) {
        return choose(customer).of(customer);
      }

      @Override
      public double peak(Customer customer) {
        return choose(customer).peak(customer);
      }

      private Schedule.Demand choose(Customer customer) {
        return Scenario.this == GREEDY && customer.equals(greedy) ? heavy : usual;
      }
    };
  }

  /** Returns when the event of the scenario happens. */
  public double eventSecond(double seconds) {
    return seconds / 4;
  }

  /** Prepares the backend servers. */
  public void prepare(TestBed bed) {
    if (this == OVERLOAD) {
      Service first = bed.layout().deployment().services().get(0);
      double millis = overloadedServiceMillis(bed.layout(), first);
      bed.controlService(first.id().value(), "{\"serviceTime\":\"lognormal:" + millis + ":0.4\"}");
    }
  }

  private double overloadedServiceMillis(Layout layout, Service service) {
    double demand =
        layout.keyedCustomers().stream().mapToDouble(Customer::requestsPerSecond).sum()
            * multiple
            * FIRST_SERVICE_SHARE;
    int slots =
        layout.backends().get(service.id().value()).stream().mapToInt(BackendServer::slots).sum();
    double meanMillis = slots * MILLIS_PER_SECOND * OVERLOAD_FACTOR / demand;
    return Math.round(meanMillis / LOGNORMAL_MEAN_OVER_MEDIAN);
  }

  /** Makes the event that backend servers and platform see. */
  public void onBackends(TestBed bed, double secondsLeft) {
    Layout layout = bed.layout();
    String firstService = layout.deployment().services().get(0).id().value();
    long millisLeft = (long) (secondsLeft * MILLIS_PER_SECOND);
    switch (this) {
      case CALM -> bed.control(drainingServer(layout), "{\"draining\":true}");
      case DAWN -> bed.controlService(firstService, "{\"cold\":true}");
      case REGION_LOSS ->
          lostServers(layout)
              .forEach(
                  server ->
                      bed.control(
                          Layout.address(server), "{\"unreachableMillis\":" + millisLeft + "}"));
      default -> {}
    }
  }

  /** Makes the event that entry VMs see. */
  public void onEntries(TestBed bed, Processes processes, double secondsLeft) {
    long millisLeft = (long) (secondsLeft * MILLIS_PER_SECOND);
    switch (this) {
      case STORE_DOWN -> bed.platformFault("{\"outageMillis\":" + millisLeft + "}");
      case CUT -> bed.platformFault("{\"refuseClients\":[\"" + cutPlatform(bed) + "\"]}");
      case VM_KILL, REGION_LOSS -> lostEntries(bed.layout()).forEach(processes::kill);
      default -> {}
    }
  }

  /** Makes the event that the baseline's proxies see. */
  public void onBaseline(TestBed bed, BaselineCaller baseline) {
    baseline.remove(lostEntries(bed.layout()).size());
  }

  /** Ends faults that outlast the run. */
  public void heal(TestBed bed) {
    if (this == CUT || this == STORE_DOWN) {
      bed.platformFault("{\"refuseClients\":[],\"outageMillis\":0}");
    }
  }

  /** Returns the server that drains in {@link #CALM}. */
  static String drainingServer(Layout layout) {
    return Layout.address(layout.deployment().backendServers().get(0));
  }

  private static String cutPlatform(TestBed bed) {
    List<String> platform = bed.layout().platform();
    return platform.get(platform.size() - 1);
  }

  private List<String> lostEntries(Layout layout) {
    List<Layout.Entry> entries = layout.entries();
    if (this == VM_KILL) {
      return List.of(entries.get(entries.size() - 1).name());
    }
    String lost = lostRegion(layout);
    return this == REGION_LOSS
        ? entries.stream().filter(e -> e.region().equals(lost)).map(Layout.Entry::name).toList()
        : List.of();
  }

  private static List<BackendServer> lostServers(Layout layout) {
    String lost = lostRegion(layout);
    return layout.deployment().backendServers().stream()
        .filter(
            server ->
                layout
                    .deployment()
                    .regionOf(server.failureDomain())
                    .filter(region -> region.value().equals(lost))
                    .isPresent())
        .toList();
  }

  private static String lostRegion(Layout layout) {
    return layout.regions().get(layout.regions().size() - 1).id().value();
  }

  /** Quiet, then a rush within the customers' bursts, then a steady high demand. */
  private record Dawn(double rushSecond, double afterwards) implements Schedule.Demand {

    @Override
    public DoubleUnaryOperator of(Customer customer) {
      return second -> {
        if (second < rushSecond) {
          return QUIET_MULTIPLE;
        }
        return second < rushSecond + RUSH_SECONDS ? RUSH_MULTIPLE : afterwards;
      };
    }

    @Override
    public double peak(Customer customer) {
      return RUSH_MULTIPLE;
    }
  }
}
