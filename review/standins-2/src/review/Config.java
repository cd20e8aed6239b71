package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds the documents that the operator writes. */
final class Config {

  static final String HOST = "hulo84.example";
  static final String SERVICE = "kaba98a";
  static final String OTHER_SERVICE = "lehu44b";

  private static final List<String> ROUTE_COLUMNS =
      List.of(
          "name", "host", "prefix", "kind", "timeout_s", "service", "goal_s", "priority",
          "attempts", "public", "sticky");

  private final long version;
  private final List<List<Object>> routes = new ArrayList<>();
  private final List<List<Object>> tenants = new ArrayList<>();
  private long bodyBytes = 67108864;
  private boolean fewColumns;

  Config(long version) {
    this.version = version;
  }

  Config route(String name, String prefix, String kind, double timeoutSeconds) {
    return route(name, prefix, kind, timeoutSeconds, SERVICE);
  }

  Config route(
      String name, String prefix, String kind, double timeoutSeconds, String service) {
    List<Object> row =
        new ArrayList<>(List.of(name, HOST, prefix, kind, timeoutSeconds, service));
    if (!fewColumns) {
      row.addAll(List.of(0.4, 1, 2, false, true));
    }
    routes.add(row);
    return this;
  }

  Config tenant(String name, List<String> keys, double perSecond, double burst) {
    List<Object> row = new ArrayList<>();
    row.add(name);
    row.add(keys);
    row.add(1);
    row.add(perSecond);
    row.add(burst);
    tenants.add(row);
    return this;
  }

  /** Omits what has its default in all routes. */
  Config withFewColumns() {
    fewColumns = true;
    return this;
  }

  Config bodyBytes(long bytes) {
    bodyBytes = bytes;
    return this;
  }

  Map<String, Object> document() {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("version", version);
    document.put(
        "routes",
        table(fewColumns ? ROUTE_COLUMNS.subList(0, 6) : ROUTE_COLUMNS, routes));
    List<List<Object>> services =
        List.of(
            List.of(SERVICE, "/health", 360, 3.0, 4.4),
            List.of(OTHER_SERVICE, "/health", 360, 3.0, 4.4));
    document.put(
        "services",
        table(
            List.of("name", "health_path", "max_conns", "cold_start_s", "cold_per_s"),
            services));
    document.put(
        "tenants",
        table(List.of("name", "api_keys", "priority", "rate_per_s", "burst"), tenants));
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("header_bytes", 16384);
    limits.put("body_bytes", bodyBytes);
    limits.put("header_timeout_s", 3);
    limits.put("idle_timeout_s", 15);
    document.put("limits", limits);
    return document;
  }

  private static Map<String, Object> table(List<String> columns, List<List<Object>> rows) {
    Map<String, Object> table = new LinkedHashMap<>();
    table.put("columns", columns);
    table.put("rows", rows);
    return table;
  }
}
