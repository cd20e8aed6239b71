package org.toucanrack.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.toucanrack.configuration.Customer;
import org.toucanrack.configuration.Deployment;
import org.toucanrack.configuration.Region;
import org.toucanrack.configuration.RegionLink;
import org.toucanrack.configuration.Rules;
import org.toucanrack.configuration.ShiftRule;
import org.toucanrack.id.CustomerId;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.RegionId;

/**
 * Reads a deployment from the merged files and reports every fault. Not thread-safe.
 *
 * <p>Sections are read in dependency order: a section refers only to names of sections that were
 * read before it.
 */
final class DeploymentReader {

  private static final long MAX_LINK_BITS_PER_SECOND = 100_000_000_000_000L;
  private static final long MAX_WINDOW_SECONDS = 3_600;
  private static final long DEFAULT_WINDOW_SECONDS = 10;
  private static final double DEFAULT_SHIFT_CAP_FRACTION = 0.1;
  private static final long MAX_LOOKUP_TTL_SECONDS = 300;
  private static final long DEFAULT_LOOKUP_TTL_SECONDS = 10;
  // A revoked key must stop working within 5 s, of which 1 s is the interval of the reads.
  private static final long MAX_KEY_FRESHNESS_SECONDS = 4;

  private final Faults faults;
  private final DeclaredNames<RegionId> regions = new DeclaredNames<>("region");
  private final DeclaredNames<FailureDomainId> domains = new DeclaredNames<>("failure domain");
  private final DeclaredNames<CustomerId> customers = new DeclaredNames<>("customer");

  DeploymentReader(Faults faults) {
    this.faults = faults;
  }

  /** Returns the deployment, or empty if any fault was reported. */
  Optional<Deployment> read(YamlNode.Mapping merged) {
    return faults.unlessFaulty(
        () -> {
          Section root = new Section(merged, "", faults);
          ServiceReader serviceReader = new ServiceReader(faults);
          final String name =
              root.name("name", "kalahari", text -> NameSyntax.check("deployment", text))
                  .orElse("");
          final List<Region> declaredRegions = regions(root);
          final List<RegionLink> links = links(root);
          serviceReader.read(root);
          final List<Customer> declaredCustomers = customers(root, serviceReader.hasOpenRoute());
          BackendServerReader serverReader =
              new BackendServerReader(faults, domains, serviceReader.serviceNames());
          int reportsBefore = faults.reportCount();
          serverReader.read(root);
          if (faults.reportCount() == reportsBefore) {
            serviceReader.checkVersionsHaveServers(serverReader.servers());
          }
          Rules rules = rules(root);
          root.rejectUnknownFields();
          return () ->
              new Deployment(
                  name,
                  declaredRegions,
                  links,
                  serviceReader.declaredServices(),
                  serviceReader.declaredVersions(),
                  serverReader.servers(),
                  declaredCustomers,
                  rules);
        });
  }

  private List<Region> regions(Section root) {
    List<Region> declared = new ArrayList<>();
    List<Section> sections = root.sections("regions", "region");
    if (sections.isEmpty()) {
      root.addFault(
          "regions", "no region is declared. Write at least one with its failure domains.");
    }
    for (Section section : sections) {
      faults
          .unlessFaulty(
              () -> {
                RegionId id = section.uniqueName("name", "khomas", RegionId::new, regions);
                List<FailureDomainId> ids = failureDomains(section);
                section.rejectUnknownFields();
                return () -> new Region(id, ids);
              })
          .ifPresent(declared::add);
    }
    return declared;
  }

  private List<FailureDomainId> failureDomains(Section section) {
    String field = "failureDomains";
    List<FailureDomainId> ids = section.ids(field, "[khomas-a]", FailureDomainId::new);
    if (ids.isEmpty()) {
      section.addFault(field, "the region has no failure domain. Write at least one.");
    }
    for (FailureDomainId id : ids) {
      if (!domains.add(id, section.position(field))) {
        section.addFault(
            field,
            "the failure domain '%s' is already declared at %s. Choose another name."
                .formatted(id, domains.position(id)));
      }
    }
    return ids;
  }

  private List<RegionLink> links(Section root) {
    List<RegionLink> declared = new ArrayList<>();
    for (Section section : root.sections("links", "link")) {
      faults
          .unlessFaulty(
              () -> {
                RegionId first = section.reference("first", RegionId::new, regions);
                RegionId second = section.reference("second", RegionId::new, regions);
                long bitsPerSecond = section.integer("bitsPerSecond", 1, MAX_LINK_BITS_PER_SECOND);
                section.rejectUnknownFields();
                checkLink(section, first, second, declared);
                return () -> new RegionLink(first, second, bitsPerSecond);
              })
          .ifPresent(declared::add);
    }
    return declared;
  }

  private static void checkLink(
      Section section, RegionId first, RegionId second, List<RegionLink> declared) {
    if (first.equals(second)) {
      section.addFault("second", "the link joins '" + first + "' with itself. Name two regions.");
    }
    if (declared.stream().anyMatch(link -> link.connects(first, second))) {
      section.addFault(
          "first", "the link of %s and %s is given twice. Remove one.".formatted(first, second));
    }
  }

  private List<Customer> customers(Section root, boolean hasOpenRoute) {
    List<Customer> declared = new ArrayList<>();
    for (Section section : root.sections("customers", "customer")) {
      faults
          .unlessFaulty(
              () -> {
                CustomerId id = section.uniqueName("name", "otavi", CustomerId::new, customers);
                double rate = section.decimal("requestsPerSecond", "0.001", "10000000");
                double burst = section.decimal("burst", "1", "10000000");
                double weight = section.decimalOr("weight", "0.001", "1000", 1);
                section.rejectUnknownFields();
                checkBurst(section, burst);
                return () -> new Customer(id, rate, burst, weight);
              })
          .ifPresent(declared::add);
    }
    if (hasOpenRoute && !customers.contains(ReservedNames.ANONYMOUS)) {
      root.addFault(
          "customers",
          "a route is open, but the customer 'anonymous' that open routes are accounted to is"
              + " missing. Declare it with a rate and a burst.");
    }
    return declared;
  }

  /** Each failure domain gets a share of the burst; a share below 1 never holds a whole token. */
  private void checkBurst(Section section, double burst) {
    int domainCount = domains.all().size();
    if (burst < domainCount) {
      section.addFault(
          "burst",
          "the burst is split over %d failure domains and must give each at least 1 request."
                  .formatted(domainCount)
              + " Write %d or more.".formatted(domainCount));
    }
  }

  private Rules rules(Section root) {
    Optional<Section> section = root.section("rules");
    ShiftRule shift =
        section
            .flatMap(rules -> rules.section("shift"))
            .map(this::shiftRule)
            .orElse(defaultShiftRule());
    long lookupTtlSeconds =
        section
            .map(
                rules ->
                    rules.integerOr(
                        "lookupTtlSeconds", 1, MAX_LOOKUP_TTL_SECONDS, DEFAULT_LOOKUP_TTL_SECONDS))
            .orElse(DEFAULT_LOOKUP_TTL_SECONDS);
    long keyFreshnessSeconds =
        section
            .map(
                rules ->
                    rules.integerOr(
                        "keyFreshnessSeconds",
                        1,
                        MAX_KEY_FRESHNESS_SECONDS,
                        MAX_KEY_FRESHNESS_SECONDS))
            .orElse(MAX_KEY_FRESHNESS_SECONDS);
    section.ifPresent(Section::rejectUnknownFields);
    return new Rules(
        shift, Duration.ofSeconds(lookupTtlSeconds), Duration.ofSeconds(keyFreshnessSeconds));
  }

  private ShiftRule shiftRule(Section section) {
    double capFraction = section.decimalOr("capFraction", "0.001", "1", DEFAULT_SHIFT_CAP_FRACTION);
    long windowSeconds =
        section.integerOr("windowSeconds", 1, MAX_WINDOW_SECONDS, DEFAULT_WINDOW_SECONDS);
    section.rejectUnknownFields();
    boolean valid = capFraction > 0 && capFraction <= 1;
    return valid
        ? new ShiftRule(capFraction, Duration.ofSeconds(windowSeconds))
        : defaultShiftRule();
  }

  private static ShiftRule defaultShiftRule() {
    return new ShiftRule(DEFAULT_SHIFT_CAP_FRACTION, Duration.ofSeconds(DEFAULT_WINDOW_SECONDS));
  }
}
