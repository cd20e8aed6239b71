package org.toucanrack.internal.coordination.control;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import java.util.Date;
import org.junit.jupiter.api.Test;

class WallClockTest {

  /** Guards against leases, proofs or timeouts that change with steps of the wall clock. */
  @Test
  void coordinationAndPeersReadNoWallClock() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(
                "org.toucanrack.internal.coordination.lease",
                "org.toucanrack.internal.coordination.control",
                "org.toucanrack.internal.transport.peer");

    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(Instant.class, "now")
        .orShould()
        .callConstructor(Date.class)
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Clock.class)
        .check(classes);
  }
}
