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

/** Reads services with their routes and versions. Not thread-safe. */
final class ServiceReader {

  private static final long MAX_TIMEOUT_MILLIS = 600_000;
  private static final long MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final long DEFAULT_BODY_BYTES = 64 * 1024;
  private static final long MAX_QUEUE_LENGTH = 1_000_000;
  private static final long DEFAULT_QUEUE_LENGTH = 200;
  private static final double DEFAULT_RETRY_BUDGET = 0.1;
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,20}");
  private static final Pattern PATH_PREFIX = Pattern.compile("/([A-Za-z0-9._~-]+/?)*");

  private final Faults faults;
  private final Map<ServiceId, Names<VersionId>> versionNames = new LinkedHashMap<>();
  private final Names<ServiceId> services = new Names<>("service");
  private final List<Service> declaredServices = new ArrayList<>();
  private final List<ServiceVersion> declaredVersions = new ArrayList<>();
  private boolean hasOpenRoute;

  ServiceReader(Faults faults) {
    this.faults = faults;
  }

  void read(Section root) {
    List<Section> sections = root.sections("services", "service");
    if (sections.isEmpty()) {
      root.fault("services", "no service is declared. Write at least one with its routes.");
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

  /** Returns the names of all services, and of each one's versions. */
  ServiceNames services() {
    return new ServiceNames(services, versionNames);
  }

  /** Reports each version that no backend server runs. */
  void checkCarried(List<BackendServer> servers) {
    for (ServiceVersion version : declaredVersions) {
      boolean carried =
          servers.stream()
              .anyMatch(
                  server ->
                      server.service().equals(version.service())
                          && server.version().equals(version.id()));
      if (!carried) {
        faults.add(
            versionNames.get(version.service()).position(version.id()),
            "service '%s': no backend server runs version '%s'."
                    .formatted(version.service(), version.id())
                + " Declare one, or remove the version.");
      }
    }
  }

  private void readService(Section section) {
    ServiceId id = section.uniqueName("name", "orders", ServiceId::new, services);
    faults
        .unlessFaulty(
            () -> {
              List<Route> routes = routes(section);
              double budget =
                  section.decimalOr("retryBudgetFraction", "0", "1", DEFAULT_RETRY_BUDGET);
              int queue =
                  (int)
                      section.integerOr(
                          "maxQueueLength", 0, MAX_QUEUE_LENGTH, DEFAULT_QUEUE_LENGTH);
              boolean cutOff = section.flagOr("serveKeyedWhenCutOff", false);
              readVersions(section, id);
              section.rejectUnknownFields();
              return () -> new Service(id, routes, budget, queue, cutOff);
            })
        .ifPresent(declaredServices::add);
  }

  private List<Route> routes(Section service) {
    Names<RouteId> names = new Names<>("route");
    List<Route> routes = new ArrayList<>();
    List<Section> sections = service.sections("routes", "route");
    if (sections.isEmpty()) {
      service.fault("routes", "the service has no route. Write at least one.");
    }
    for (Section section : sections) {
      route(section, names).ifPresent(route -> addUnlessAmbiguous(section, route, routes));
    }
    return routes;
  }

  private Optional<Route> route(Section section, Names<RouteId> names) {
    return faults.unlessFaulty(
        () -> {
          RouteId id = section.uniqueName("name", "place", RouteId::new, names);
          Set<String> methods = methods(section);
          String prefix = pathPrefix(section);
          boolean idempotent = section.flag("idempotent");
          boolean open = section.flagOr("open", false);
          long timeout = section.integer("timeoutMillis", 1, MAX_TIMEOUT_MILLIS);
          int body = (int) section.integerOr("maxBodyBytes", 0, MAX_BODY_BYTES, DEFAULT_BODY_BYTES);
          section.rejectUnknownFields();
          hasOpenRoute |= open;
          return () ->
              new Route(id, methods, prefix, idempotent, open, Duration.ofMillis(timeout), body);
        });
  }

  private static void addUnlessAmbiguous(Section section, Route route, List<Route> routes) {
    for (Route other : routes) {
      boolean shareMethod =
          route.methods().isEmpty()
              || other.methods().isEmpty()
              || route.methods().stream().anyMatch(other.methods()::contains);
      if (shareMethod && route.pathPrefix().equals(other.pathPrefix())) {
        section.fault(
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
        section.fault(
            "methods", "'%s' is no HTTP method. Write it in upper case.".formatted(method.text()));
      }
      methods.add(method.text());
    }
    return methods;
  }

  private static String pathPrefix(Section section) {
    Optional<String> prefix = section.text("pathPrefix", "/orders");
    if (prefix.isPresent() && !PATH_PREFIX.matcher(prefix.get()).matches()) {
      section.fault(
          "pathPrefix",
          "'%s' is no path prefix. Write '/' followed by segments of letters, digits, '.', '_',"
                  .formatted(prefix.get())
              + " '~' and '-'.");
    }
    return prefix.orElse("/");
  }

  private void readVersions(Section service, ServiceId id) {
    Names<VersionId> names = new Names<>("version of service '" + id + "'");
    versionNames.put(id, names);
    List<Section> sections = service.sections("versions", "version");
    List<ServiceVersion> versions =
        sections.stream().flatMap(section -> version(section, id, names).stream()).toList();
    declaredVersions.addAll(versions);
    long carrying = versions.stream().filter(version -> !version.isCandidate()).count();
    if (carrying != 1 && versions.size() == sections.size()) {
      service.fault(
          "versions",
          "%d versions have no 'carryBy'. Exactly one, the one that carries the traffic now, must"
                  .formatted(carrying)
              + " have none.");
    }
  }

  private Optional<ServiceVersion> version(
      Section section, ServiceId service, Names<VersionId> names) {
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
