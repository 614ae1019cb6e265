package org.carobdoor.node;

import static com.google.common.truth.Truth.assertThat;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against forbidden dependencies between modules. */
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
                        "org.carobdoor.platform..",
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
    void platformAdapterDependsOnNeitherPolicyNorNetworkClasses() {
        noClasses()
                .that()
                .resideInAPackage("org.carobdoor.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.carobdoor.wire..",
                        "org.carobdoor.node..",
                        "org.carobdoor.clients..",
                        "org.carobdoor.internal.placement..",
                        "org.carobdoor.internal.quota..",
                        "org.carobdoor.internal.duty..",
                        "org.carobdoor.internal.fleet..",
                        "org.carobdoor.internal.health..",
                        "org.carobdoor.internal.retries..",
                        "io.netty.channel..",
                        "okhttp3..")
                .check(CLASSES);
    }

    @Test
    void platformWireNamesAppearOnlyInTheAdapter() throws IOException {
        Pattern wireNames =
                Pattern.compile(
                        "\"(X-(Attempt-Id|Deadline-Milliseconds|Prompt-Prefix|Token-Counts|Tenant"
                                + "|Expect-Instance|Server-Stamp|Not-Executed|Request-Urgency"
                                + "|Fencing-Token|Duty-Holder)|Kv-From|kv-|/kv-|op/config|servers/"
                                + "|latencyTargetMs|timeoutMs|coldRemainingMs|expectedRevision"
                                + "|tombstone|storeRevision|apiKeys|desiredCount|windowNumber)");
        List<String> found = new ArrayList<>();
        for (String module : List.of("core", "wire", "clients", "node", "cli")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                    if (wireNames.matcher(Files.readString(f)).find()) {
                        found.add(f.toString());
                    }
                }
            }
        }
        assertThat(found).isEmpty();
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
