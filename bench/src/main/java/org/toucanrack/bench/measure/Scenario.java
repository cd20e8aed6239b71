package org.toucanrack.bench.measure;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;
import org.toucanrack.bench.layout.Layout;
import org.toucanrack.bench.load.BaselineCaller;
import org.toucanrack.bench.load.ScheduleGenerator;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Service;

/** The customers' demand and the injected fault of a measurement. */
public enum Scenario {
  /** Demand at half of the rates; one backend server drains. */
  CALM(0.5),
  /** The first service has two thirds of the capacity that its demand requires. */
  OVERLOAD(0.9),
  /** The first customer sends five times its rate. */
  GREEDY(0.5),
  /** The platform refuses the clients of one failure domain. */
  CUT(0.5),
  /** All VMs and backend servers of the last region are lost. */
  REGION_LOSS(0.4),
  /** The platform is unavailable. */
  STORE_DOWN(0.5),
  /** One entry VM is killed. */
  VM_KILL(0.5),
  /**
   * Low demand, then a simultaneous rush of all customers; the first service's servers are cold.
   */
  DAWN(0.9);

  private static final double GREEDY_MULTIPLIER = 5;
  private static final double OVERLOAD_FACTOR = 1.5;
  private static final double QUIET_MULTIPLIER = 0.1;
  private static final double RUSH_MULTIPLIER = 2;
  private static final double RUSH_SECONDS = 2;
  private static final double FIRST_SERVICE_SHARE = 0.6;
  // exp(sigma^2 / 2) for the sigma of 0.4 in all lognormal service times.
  private static final double LOGNORMAL_MEAN_OVER_MEDIAN = 1.083;
  private static final double MILLIS_PER_SECOND = 1000;

  private final double demandMultiplier;

  Scenario(double demandMultiplier) {
    this.demandMultiplier = demandMultiplier;
  }

  /** Returns the scenario for a command-line name such as {@code region-loss}. */
  public static Scenario fromCommandName(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }

  /** Returns the command-line name. */
  public String commandName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the demand over a run of the given length. */
  public ScheduleGenerator.Demand demand(Layout layout, double seconds) {
    if (this == DAWN) {
      return new QuietThenRush(eventSecond(seconds), demandMultiplier);
    }
    Customer greedy = layout.keyedCustomers().get(0);
    ScheduleGenerator.Demand usualDemand = ScheduleGenerator.Demand.constant(demandMultiplier);
    ScheduleGenerator.Demand greedyDemand = ScheduleGenerator.Demand.constant(GREEDY_MULTIPLIER);
    return new ScheduleGenerator.Demand() {
      @Override
      public DoubleUnaryOperator multiplier(Customer customer) {
        return demandOf(customer).multiplier(customer);
      }

      @Override
      public double peakMultiplier(Customer customer) {
        return demandOf(customer).peakMultiplier(customer);
      }

      private ScheduleGenerator.Demand demandOf(Customer customer) {
        return Scenario.this == GREEDY && customer.equals(greedy) ? greedyDemand : usualDemand;
      }
    };
  }

  /** Returns when the event occurs, in seconds from the start of the run. */
  public double eventSecond(double seconds) {
    return seconds / 4;
  }

  /** Sets the service times of the backend servers that the scenario needs. */
  public void prepare(TestBed testBed) {
    if (this == OVERLOAD) {
      Service first = testBed.layout().deployment().services().get(0);
      double millis = overloadedServiceMillis(testBed.layout(), first);
      testBed.controlService(
          first.id().value(), "{\"serviceTime\":\"lognormal:" + millis + ":0.4\"}");
    }
  }

  private double overloadedServiceMillis(Layout layout, Service service) {
    double requestsPerSecond =
        layout.keyedCustomers().stream().mapToDouble(Customer::requestsPerSecond).sum()
            * demandMultiplier
            * FIRST_SERVICE_SHARE;
    int slots =
        layout.serversByService().get(service.id().value()).stream()
            .mapToInt(BackendServer::slots)
            .sum();
    double meanMillis = slots * MILLIS_PER_SECOND * OVERLOAD_FACTOR / requestsPerSecond;
    return Math.round(meanMillis / LOGNORMAL_MEAN_OVER_MEDIAN);
  }

  /** Applies the event to the backend servers. */
  public void applyToBackendServers(TestBed testBed, double secondsLeft) {
    Layout layout = testBed.layout();
    String firstService = layout.deployment().services().get(0).id().value();
    long millisLeft = (long) (secondsLeft * MILLIS_PER_SECOND);
    switch (this) {
      case CALM -> testBed.control(drainingServer(layout), "{\"draining\":true}");
      case DAWN -> testBed.controlService(firstService, "{\"cold\":true}");
      case REGION_LOSS ->
          lostServers(layout)
              .forEach(
                  server ->
                      testBed.control(
                          Layout.address(server), "{\"unreachableMillis\":" + millisLeft + "}"));
      default -> {}
    }
  }

  /** Applies the event to the entry VMs and to the platform that they use. */
  public void applyToEntryVms(TestBed testBed, EntryVmProcesses processes, double secondsLeft) {
    long millisLeft = (long) (secondsLeft * MILLIS_PER_SECOND);
    switch (this) {
      case STORE_DOWN -> testBed.setPlatformFault("{\"outageMillis\":" + millisLeft + "}");
      case CUT ->
          testBed.setPlatformFault(
              "{\"refuseClients\":[\"" + refusedPlatformAddress(testBed) + "\"]}");
      case VM_KILL, REGION_LOSS -> lostEntryVms(testBed.layout()).forEach(processes::kill);
      default -> {}
    }
  }

  /** Applies the event to the baseline's proxies. */
  public void applyToBaseline(TestBed testBed, BaselineCaller baseline) {
    baseline.removeProxies(lostEntryVms(testBed.layout()).size());
  }

  /** Clears platform faults that would outlast the run. */
  public void clearFaults(TestBed testBed) {
    if (this == CUT || this == STORE_DOWN) {
      testBed.setPlatformFault("{\"refuseClients\":[],\"outageMillis\":0}");
    }
  }

  /** Returns the server that drains in {@link #CALM}. */
  static String drainingServer(Layout layout) {
    return Layout.address(layout.deployment().backendServers().get(0));
  }

  private static String refusedPlatformAddress(TestBed testBed) {
    List<String> platformAddresses = testBed.layout().platformAddresses();
    return platformAddresses.get(platformAddresses.size() - 1);
  }

  private List<String> lostEntryVms(Layout layout) {
    List<Layout.EntryVmSpec> entryVms = layout.entryVms();
    if (this == VM_KILL) {
      return List.of(entryVms.get(entryVms.size() - 1).name());
    }
    String lostRegion = lostRegion(layout);
    return this == REGION_LOSS
        ? entryVms.stream()
            .filter(e -> e.region().equals(lostRegion))
            .map(Layout.EntryVmSpec::name)
            .toList()
        : List.of();
  }

  private static List<BackendServer> lostServers(Layout layout) {
    String lostRegion = lostRegion(layout);
    return layout.deployment().backendServers().stream()
        .filter(
            server ->
                layout
                    .deployment()
                    .regionOf(server.failureDomain())
                    .filter(region -> region.value().equals(lostRegion))
                    .isPresent())
        .toList();
  }

  private static String lostRegion(Layout layout) {
    return layout.regions().get(layout.regions().size() - 1).id().value();
  }

  /** Low demand, then a rush within the customers' bursts, then steady high demand. */
  private record QuietThenRush(double rushSecond, double steadyMultiplier)
      implements ScheduleGenerator.Demand {

    @Override
    public DoubleUnaryOperator multiplier(Customer customer) {
      return second -> {
        if (second < rushSecond) {
          return QUIET_MULTIPLIER;
        }
        return second < rushSecond + RUSH_SECONDS ? RUSH_MULTIPLIER : steadyMultiplier;
      };
    }

    @Override
    public double peakMultiplier(Customer customer) {
      return RUSH_MULTIPLIER;
    }
  }
}
