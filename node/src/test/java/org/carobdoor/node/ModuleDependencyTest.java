package org.carobdoor.node;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against dependencies that point the wrong way between modules. */
final class ModuleDependencyTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.carobdoor");

    @Test
    void coreDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.carobdoor", "org.carobdoor.internal..", "org.carobdoor.message")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.carobdoor.wire..",
                        "org.carobdoor.clients..",
                        "org.carobdoor.node..",
                        "org.carobdoor.standins..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "io.netty..",
                        "okhttp3..")
                .check(CLASSES);
    }

    @Test
    void wireAndPlatformDoNotDependOnEachOtherOrOnTheNode() {
        noClasses()
                .that()
                .resideInAPackage("org.carobdoor.wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.carobdoor.clients..", "org.carobdoor.node..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.carobdoor.clients..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.carobdoor.wire..", "org.carobdoor.node..")
                .check(CLASSES);
    }

    @Test
    void productDoesNotDependOnStandIns() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "org.carobdoor.wire..", "org.carobdoor.clients..", "org.carobdoor.node..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.carobdoor.standins..")
                .check(CLASSES);
    }
}
