package damsonslip;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Rules for the dependencies between packages. */
class StructureTest {
    private static final JavaClasses PROGRAM =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("damsonslip");

    @Test
    void packagesAreFreeOfCycles() {
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
        "damsonslip.engine..,damsonslip.platform..",
        "damsonslip.engine..,damsonslip.faktory..",
        "damsonslip.engine..,damsonslip.transport..",
        "damsonslip.engine..,org.eclipse.jetty..",
        "damsonslip.platform.client..,damsonslip.platform.worker..",
        "damsonslip.platform.worker..,damsonslip.platform.client..",
        "damsonslip.platform..,damsonslip.faktory..",
        "damsonslip.faktory..,damsonslip.platform..",
        "damsonslip.policy..,java.net..",
        "damsonslip.policy..,java.time..",
        "damsonslip.store..,damsonslip.faktory..",
        "damsonslip.tools.fleetreport..,java.io..",
        "damsonslip.tools.fleetreport..,java.nio..",
        "damsonslip.tools.fleetreport..,java.time..",
        "damsonslip.tools.fleetreport..,damsonslip.engine..",
        "damsonslip.faktory.jobs..,java.net..",
        "damsonslip.faktory.jobs..,java.time..",
        "damsonslip.faktory.jobs..,redis.clients..",
        "damsonslip.faktory.jobs..,damsonslip.engine..",
        "damsonslip.faktory.jobs..,damsonslip.transport..",
        "damsonslip.faktory.jobs..,damsonslip.faktory.codec..",
        "damsonslip.faktory.routing..,damsonslip.engine..",
        "damsonslip.faktory.codec..,damsonslip.transport..",
        "damsonslip.faktory.codec..,damsonslip.engine..",
        "damsonslip.faktory.codec..,damsonslip.faktory.jobs.."
    })
    void packageDoesNotDependOn(String dependent, String forbidden) {
        noClasses()
                .that()
                .resideInAPackage(dependent)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(forbidden)
                .check(PROGRAM);
    }

    /** The packages below {@code damsonslip} from the lowest layer to the highest. */
    private static final List<String> LAYERS =
            List.of(
                    "policy.api..",
                    "membership..",
                    "policy",
                    "config..",
                    "engine..",
                    "transport..",
                    "store..",
                    "admin..",
                    "faktory..",
                    "platform..",
                    "tools..",
                    "cli..");

    @Test
    void noPackageDependsOnAHigherLayer() {
        for (int lower = 0; lower < LAYERS.size(); lower++) {
            String[] higher =
                    LAYERS.subList(lower + 1, LAYERS.size()).stream()
                            .map(layer -> "damsonslip." + layer)
                            .toArray(String[]::new);
            if (higher.length > 0) {
                noClasses()
                        .that()
                        .resideInAPackage("damsonslip." + LAYERS.get(lower))
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(higher)
                        .check(PROGRAM);
            }
        }
    }

    @Test
    void onlyTheCommandLineDependsOnTheLab() {
        noClasses()
                .that()
                .resideOutsideOfPackages("damsonslip.tools.lab..", "damsonslip.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("damsonslip.tools.lab..")
                .check(PROGRAM);
    }
}
