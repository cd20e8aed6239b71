package org.toucanrack.internal.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.toucanrack.configuration.BackendServer;
import org.toucanrack.configuration.Route;
import org.toucanrack.configuration.Service;
import org.toucanrack.configuration.ServiceVersion;
import org.toucanrack.id.RouteId;
import org.toucanrack.id.ServiceId;
import org.toucanrack.id.VersionId;

/** Reads the declared services with their routes and versions. Not thread-safe. */
final class ServiceReader {

  private static final long MAX_TIMEOUT_MILLIS = 600_000;
  private static final long MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final long DEFAULT_MAX_BODY_BYTES = 64 * 1024;
  private static final long MAX_QUEUE_LENGTH = 1_000_000;
  private static final long DEFAULT_MAX_QUEUE_LENGTH = 200;
  private static final double DEFAULT_RETRY_BUDGET_FRACTION = 0.1;
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
  private static final Pattern PATH_PREFIX = Pattern.compile("/([A-Za-z0-9._~-]+/?)*");

  private final Faults faults;
  private final Map<ServiceId, DeclaredNames<VersionId>> versionNames = new LinkedHashMap<>();
  private final DeclaredNames<ServiceId> serviceIds = new DeclaredNames<>("service");
  private final List<Service> declaredServices = new ArrayList<>();
  private final List<ServiceVersion> declaredVersions = new ArrayList<>();
  private boolean hasOpenRoute;

  ServiceReader(Faults faults) {
    this.faults = faults;
  }

  void read(Section root) {
    List<Section> sections = root.sections("services", "service");
    if (sections.isEmpty()) {
      root.addFault("services", "no service is declared. Write at least one with its routes.");
    }
    sections.forEach(this::readService);
  }

  List<Service> declaredServices() {
    return declaredServices;
  }

  List<ServiceVersion> declaredVersions() {
    return declaredVersions;
  }

  boolean hasOpenRoute() {
    return hasOpenRoute;
  }

  /** Returns the names of all services and of their versions. */
  ServiceNames serviceNames() {
    return new ServiceNames(serviceIds, versionNames);
  }

  /** Reports each version that no backend server runs. */
  void checkVersionsHaveServers(List<BackendServer> servers) {
    for (ServiceVersion version : declaredVersions) {
      boolean hasServer =
          servers.stream()
              .anyMatch(
                  server ->
                      server.service().equals(version.service())
                          && server.version().equals(version.id()));
      if (!hasServer) {
        faults.add(
            versionNames.get(version.service()).position(version.id()),
            "service '%s': no backend server runs version '%s'."
                    .formatted(version.service(), version.id())
                + " Declare one, or remove the version.");
      }
    }
  }

  private void readService(Section section) {
    ServiceId id = section.uniqueName("name", "orders", ServiceId::new, serviceIds);
    faults
        .unlessFaulty(
            () -> {
              List<Route> routes = routes(section);
              double retryBudget =
                  section.decimalOr("retryBudgetFraction", "0", "1", DEFAULT_RETRY_BUDGET_FRACTION);
              int maxQueueLength =
                  (int)
                      section.integerOr(
                          "maxQueueLength", 0, MAX_QUEUE_LENGTH, DEFAULT_MAX_QUEUE_LENGTH);
              boolean serveKeyedWhenCutOff = section.flagOr("serveKeyedWhenCutOff", false);
              readVersions(section, id);
              section.rejectUnknownFields();
              return () ->
                  new Service(id, routes, retryBudget, maxQueueLength, serveKeyedWhenCutOff);
            })
        .ifPresent(declaredServices::add);
  }

  private List<Route> routes(Section service) {
    DeclaredNames<RouteId> names = new DeclaredNames<>("route");
    List<Route> routes = new ArrayList<>();
    List<Section> sections = service.sections("routes", "route");
    if (sections.isEmpty()) {
      service.addFault("routes", "the service has no route. Write at least one.");
    }
    for (Section section : sections) {
      route(section, names).ifPresent(route -> addUnlessAmbiguous(section, route, routes));
    }
    return routes;
  }

  private Optional<Route> route(Section section, DeclaredNames<RouteId> names) {
    return faults.unlessFaulty(
        () -> {
          RouteId id = section.uniqueName("name", "place", RouteId::new, names);
          Set<String> methods = methods(section);
          String prefix = pathPrefix(section);
          boolean idempotent = section.flag("idempotent");
          boolean open = section.flagOr("open", false);
          long timeoutMillis = section.integer("timeoutMillis", 1, MAX_TIMEOUT_MILLIS);
          int maxBodyBytes =
              (int) section.integerOr("maxBodyBytes", 0, MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES);
          section.rejectUnknownFields();
          hasOpenRoute |= open;
          return () ->
              new Route(
                  id,
                  methods,
                  prefix,
                  idempotent,
                  open,
                  Duration.ofMillis(timeoutMillis),
                  maxBodyBytes);
        });
  }

  private static void addUnlessAmbiguous(Section section, Route route, List<Route> routes) {
    for (Route other : routes) {
      boolean sharesMethod =
          route.methods().isEmpty()
              || other.methods().isEmpty()
              || route.methods().stream().anyMatch(other.methods()::contains);
      if (sharesMethod && route.pathPrefix().equals(other.pathPrefix())) {
        section.addFault(
            "pathPrefix",
            "the route '%s' covers the same method and path. Change one of them."
                .formatted(other.id()));
        return;
      }
    }
    routes.add(route);
  }

  private static Set<String> methods(Section section) {
    Set<String> methods = new TreeSet<>();
    if (!section.has("methods")) {
      return methods;
    }
    for (YamlNode.Scalar method : section.texts("methods", "[GET]")) {
      if (!METHOD.matcher(method.text()).matches()) {
        section.addFault(
            "methods",
            "'%s' is not an HTTP method. Write it in upper case.".formatted(method.text()));
      }
      methods.add(method.text());
    }
    return methods;
  }

  private static String pathPrefix(Section section) {
    Optional<String> prefix = section.text("pathPrefix", "/orders");
    if (prefix.isPresent() && !PATH_PREFIX.matcher(prefix.get()).matches()) {
      section.addFault(
          "pathPrefix",
          "'%s' is not a path prefix. Write '/' followed by segments of letters, digits, '.', '_',"
                  .formatted(prefix.get())
              + " '~' and '-'.");
    }
    return prefix.orElse("/");
  }

  private void readVersions(Section service, ServiceId id) {
    DeclaredNames<VersionId> names = new DeclaredNames<>("version of service '" + id + "'");
    versionNames.put(id, names);
    List<Section> sections = service.sections("versions", "version");
    List<ServiceVersion> versions =
        sections.stream().flatMap(section -> version(section, id, names).stream()).toList();
    declaredVersions.addAll(versions);
    long withoutCarryBy = versions.stream().filter(version -> !version.isCandidate()).count();
    if (withoutCarryBy != 1 && versions.size() == sections.size()) {
      service.addFault(
          "versions",
          "%d versions have no 'carryBy'. Exactly one, the one that carries the traffic now, must"
                  .formatted(withoutCarryBy)
              + " have none.");
    }
  }

  private Optional<ServiceVersion> version(
      Section section, ServiceId service, DeclaredNames<VersionId> names) {
    return faults.unlessFaulty(
        () -> {
          VersionId id = section.uniqueName("name", "v1", VersionId::new, names);
          int declaration = (int) section.integerOr("declaration", 1, Integer.MAX_VALUE, 1);
          Optional<Instant> carryBy = section.instant("carryBy");
          section.rejectUnknownFields();
          return () -> new ServiceVersion(service, id, declaration, carryBy);
        });
  }
}
