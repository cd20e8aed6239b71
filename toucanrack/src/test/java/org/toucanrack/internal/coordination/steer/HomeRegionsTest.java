package org.toucanrack.internal.coordination.steer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanrack.id.RegionId;

class HomeRegionsTest {

  private static final RegionId EAST = new RegionId("east");
  private static final RegionId WEST = new RegionId("west");

  // Guards against requests that run anywhere since an empty set of regions stands for all.
  @Test
  void regionsWithoutCommonOnesAllowNone() {
    HomeRegions none = new HomeRegions(Set.of(EAST)).and(new HomeRegions(Set.of(WEST)));

    assertFalse(none.regions().isEmpty());
    assertFalse(none.regions().contains(EAST));
    assertFalse(none.regions().contains(WEST));
    assertEquals(none, none.and(HomeRegions.ANY));
  }

  @Test
  void regionsOfBothSidesBind() {
    HomeRegions both = new HomeRegions(Set.of(EAST, WEST));
    HomeRegions east = new HomeRegions(Set.of(EAST));

    assertEquals(east, both.and(east));
    assertEquals(east, east.and(HomeRegions.ANY));
    assertEquals(east, HomeRegions.ANY.and(east));
    assertEquals(HomeRegions.ANY, HomeRegions.ANY.and(HomeRegions.ANY));
  }
}
