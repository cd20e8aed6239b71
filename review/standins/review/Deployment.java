package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The store, the entry VMs and the servers of one run, all on loopback addresses. */
final class Deployment implements AutoCloseable {

  final Record record;
  final StoreStandIn store;
  final List<EntryVm> vms = new ArrayList<>();
  final List<StoreStandIn.Gate> gates = new ArrayList<>();
  private final Path folder;

  /** Creates the store and the settings of one entry VM in each of the given zones. */
  Deployment(Path caseFolder, String... zones) throws IOException {
    record = new Record(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("review");
    store = new StoreStandIn(record);
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String network = "127.%d.%d.".formatted(random.nextInt(10, 250), random.nextInt(1, 250));
    int peerPort = EntryVm.freePort(network + 1);
    String zoneTable =
        Stream.of(zones)
            .distinct()
            .map(zone -> "\"%s\":\"%s\"".formatted(zone, EntryVm.regionOf(zone)))
            .collect(Collectors.joining(","));
    for (int i = 0; i < zones.length; i++) {
      String name = "front-" + zones[i] + "-" + (i + 1);
      String ip = network + (i + 1);
      gates.add(store.openGate(name, ip));
      EntryVm.Place place =
          new EntryVm.Place(
              name, ip, zones[i], zoneTable, peerPort, "\"%s1:%d\"".formatted(network, peerPort));
      vms.add(EntryVm.create(record, folder, place, gates.get(i).address()));
    }
  }

  /** Starts all VMs and waits until they are ready. */
  void startVms() throws IOException {
    for (EntryVm vm : vms) {
      vm.start();
    }
    for (EntryVm vm : vms) {
      if (!vm.awaitReady(15_000)) {
        throw new IllegalStateException(vm.name() + " does not become ready");
      }
    }
  }

  /** Waits until a number of seconds after the start of the record. */
  void waitUntil(double seconds) {
    Threads.pause(Math.max(0, (long) (1000 * (seconds - record.now()))));
  }

  /** Logs of all VMs go to the record's folder if the run could not be judged. */
  String logs() throws IOException {
    StringBuilder text = new StringBuilder();
    for (EntryVm vm : vms) {
      text.append("== ").append(vm.name()).append('\n').append(vm.logs());
    }
    return text.toString();
  }

  @Override
  public void close() throws IOException {
    vms.forEach(EntryVm::end);
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
