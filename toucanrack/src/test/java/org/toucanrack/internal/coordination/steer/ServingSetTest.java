package org.toucanrack.internal.coordination.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.FailureDomainId;
import org.toucanrack.id.VmId;

class ServingSetTest {

  // Guards against small fleets that leave VMs unused.
  @Test
  void allVmsOfSmallRegionsServe() {
    List<ServingSet.Candidate> ready =
        List.of(candidate("a1", "a", 180), candidate("a2", "a", 180), candidate("b1", "b", 180));

    assertEquals(vmIds("a1", "a2", "b1"), ServingSet.choose(ready, 0));
  }

  // Guards against rates that are divided among many VMs with few requests each.
  @Test
  void theStrongestTwoOfEachFailureDomainServeAtLowLoad() {
    List<ServingSet.Candidate> ready = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      ready.add(candidate("small-a" + i, "a", 40));
      ready.add(candidate("small-b" + i, "b", 40));
    }
    ready.add(candidate("large-a", "a", 400));
    ready.add(candidate("large-b", "b", 400));

    Set<VmId> chosen = ServingSet.choose(ready, 100);

    assertEquals(4, chosen.size());
    assertEquals(true, chosen.containsAll(vmIds("large-a", "large-b")));
  }

  // Guards against VMs that stay on standby while the serving ones are overloaded.
  @Test
  void moreVmsServeWhenTheLoadExceedsHalfOfTheCapacity() {
    List<ServingSet.Candidate> ready = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      ready.add(candidate("vm" + i, "a", 50));
    }

    assertEquals(2, ServingSet.choose(ready, 50).size());
    assertEquals(5, ServingSet.choose(ready, 120).size());
    assertEquals(10, ServingSet.choose(ready, 10_000).size());
  }

  // Guards against a region without serving VMs when the load exceeds the capacity of all of them.
  @Test
  void noVmServesOnlyWhenNoneIsReady() {
    assertEquals(Set.of(), ServingSet.choose(List.of(), 100));
  }

  private static ServingSet.Candidate candidate(String vm, String domain, double capacity) {
    return new ServingSet.Candidate(new VmId(vm), new FailureDomainId(domain), capacity);
  }

  private static Set<VmId> vmIds(String... ids) {
    return List.of(ids).stream().map(VmId::new).collect(Collectors.toSet());
  }
}
