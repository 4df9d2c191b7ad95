package damsonslip;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the packages may know each other. */
class StructureTest {
    private static final JavaClasses PROGRAM =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("damsonslip");

    @Test
    void noPackagesImportEachOtherInACircle() {
        slices().assignedFrom(
                        new SliceAssignment() {
                            @Override
                            public SliceIdentifier getIdentifierOf(JavaClass type) {
                                return type.getPackageName().startsWith("damsonslip")
                                        ? SliceIdentifier.of(type.getPackageName())
                                        : SliceIdentifier.ignore();
                            }

                            @Override
                            public String getDescription() {
                                return "packages";
                            }
                        })
                .should()
                .beFreeOfCycles()
                .check(PROGRAM);
    }

    @ParameterizedTest
    @CsvSource({
        "damsonslip.core..,damsonslip.platform..",
        "damsonslip.core..,damsonslip.faktory..",
        "damsonslip.core..,damsonslip.net..",
        "damsonslip.core..,org.eclipse.jetty..",
        "damsonslip.platform.clients..,damsonslip.platform.servers..",
        "damsonslip.platform.servers..,damsonslip.platform.clients..",
        "damsonslip.platform..,damsonslip.faktory..",
        "damsonslip.faktory..,damsonslip.platform..",
        "damsonslip,java.net..",
        "damsonslip,java.time..",
        "damsonslip.store..,damsonslip.faktory..",
        "damsonslip.fleet..,java.io..",
        "damsonslip.fleet..,java.nio..",
        "damsonslip.fleet..,java.time..",
        "damsonslip.fleet..,damsonslip.core..",
        "damsonslip.faktory.sets..,java.net..",
        "damsonslip.faktory.sets..,java.time..",
        "damsonslip.faktory.sets..,redis.clients..",
        "damsonslip.faktory.sets..,damsonslip.core..",
        "damsonslip.faktory.sets..,damsonslip.net..",
        "damsonslip.faktory.sets..,damsonslip.faktory.codec..",
        "damsonslip.faktory.routes..,damsonslip.core..",
        "damsonslip.faktory.codec..,damsonslip.net..",
        "damsonslip.faktory.codec..,damsonslip.core..",
        "damsonslip.faktory.codec..,damsonslip.faktory.sets.."
    })
    void packagesKeepToThemselves(String one, String other) {
        noClasses()
                .that()
                .resideInAPackage(one)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(other)
                .check(PROGRAM);
    }

    @Test
    void theLaboratoryIsKnownToNothingButTheCommandLine() {
        noClasses()
                .that()
                .resideOutsideOfPackages("damsonslip.lab..", "damsonslip.program..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("damsonslip.lab..")
                .check(PROGRAM);
    }
}
