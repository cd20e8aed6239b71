package org.toucanrack.internal.transport.operator;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Renders {@link VmStatus} as an HTML page. Stateless and thread-safe. */
final class StatusPage {

  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
          + "td,th{border:1px solid #ccc;padding:.3em .7em;text-align:left}";

  String render(VmStatus status) {
    return "<!doctype html><html><head><meta charset=\"utf-8\"><title>"
        + escape(status.vm())
        + "</title><style>"
        + STYLE
        + "</style></head><body><h1>VM "
        + escape(status.vm())
        + "</h1><p>"
        + escape(summary(status))
        + "</p>"
        + members(status.members())
        + services(status.services())
        + customers(status.customers())
        + "</body></html>";
  }

  private static String summary(VmStatus status) {
    return ("%s in failure domain %s with configuration version %d. %s"
            + " Keys were proved fresh %d ms ago.")
        .formatted(
            status.ready() ? "Ready" : "Not ready",
            status.failureDomain(),
            status.configurationVersion(),
            status.lease(),
            status.keyProofAgeMillis());
  }

  private static String members(List<VmStatus.MemberLine> members) {
    return table(
        "VMs",
        List.of("VM", "Failure domain", "Draining"),
        members,
        line -> List.of(line.vm(), line.failureDomain(), line.draining() ? "yes" : "no"));
  }

  private static String services(List<VmStatus.ServiceLine> services) {
    return table(
        "Services on this VM",
        List.of("Service", "Backend servers owned", "Slots", "Free slots"),
        services,
        line ->
            List.of(
                line.service(),
                String.valueOf(line.ownedServers()),
                String.valueOf(line.ownedSlots()),
                String.valueOf(line.freeSlots())));
  }

  private static String customers(List<VmStatus.CustomerLine> customers) {
    return table(
        "Customers on this VM",
        List.of("Customer", "Answered", "Refused, not run", "May have run", "p50 ms", "p99 ms"),
        customers,
        line ->
            List.of(
                line.customer(),
                String.valueOf(line.answered()),
                String.valueOf(line.refused()),
                String.valueOf(line.unknown()),
                String.format(Locale.ROOT, "%.1f", line.p50Millis()),
                String.format(Locale.ROOT, "%.1f", line.p99Millis())));
  }

  private static <T> String table(
      String title, List<String> headings, List<T> lines, Function<T, List<String>> cells) {
    StringBuilder html = new StringBuilder("<h2>").append(escape(title)).append("</h2><table>");
    html.append(row("th", headings));
    lines.forEach(line -> html.append(row("td", cells.apply(line))));
    return html.append("</table>").toString();
  }

  private static String row(String tag, List<String> cells) {
    StringBuilder html = new StringBuilder("<tr>");
    for (String cell : cells) {
      html.append('<').append(tag).append('>').append(escape(cell));
      html.append("</").append(tag).append('>');
    }
    return html.append("</tr>").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
