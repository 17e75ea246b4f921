package org.waxwingbeam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks that Netty adapters depend on decision code and decision code on the model, not vice
 * versa.
 */
class PackageDependencyTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.waxwingbeam");

  @Test
  void modelDependsOnNothingElse() {
    noClasses()
        .that()
        .resideInAPackage("org.waxwingbeam.model..")
        .should()
        .dependOnClassesThat()
        .resideOutsideOfPackages("org.waxwingbeam.model..", "java..")
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  @Test
  void decisionsDependOnNoAdapter() {
    noClasses()
        .that()
        .resideOutsideOfPackages("org.waxwingbeam..net..", "org.waxwingbeam.metrics..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", "org.waxwingbeam..net..")
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  @Test
  void decisionsReadNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "org.waxwingbeam.model",
            "org.waxwingbeam.caller",
            "org.waxwingbeam.target",
            "org.waxwingbeam.target.placement",
            "org.waxwingbeam.target.version",
            "org.waxwingbeam.readiness",
            "org.waxwingbeam.operator",
            "org.waxwingbeam.peer",
            "org.waxwingbeam.replica",
            "org.waxwingbeam.control")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(Thread.class, java.util.Random.class, java.time.Clock.class)
        .allowEmptyShould(true)
        .check(CLASSES);
  }
}
