package damsonslip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The deploy file says which sources make up the scheduler, and how it starts. */
class DeployTest {
    private static final Path SOURCES = Path.of("src/main/java/damsonslip");

    /** Commands of their own, which no scheduler runs. */
    private static final Set<String> TOOLS = Set.of("tools");

    @Test
    void policyAndNodeNameEverySourceOfTheScheduler() throws IOException {
        Set<String> named =
                Pattern.compile("\"src/main/java/damsonslip/([^\"]+)\"")
                        .matcher(Files.readString(Path.of("deploy/balancer.toml")))
                        .results()
                        .map(found -> found.group(1))
                        .collect(Collectors.toCollection(TreeSet::new));
        try (Stream<Path> there = Files.list(SOURCES)) {
            assertEquals(
                    there.map(path -> path.getFileName().toString())
                            .filter(name -> !TOOLS.contains(name))
                            .collect(Collectors.toCollection(TreeSet::new)),
                    named);
        }
    }

    @Test
    void theSchedulerIsOneProcessThatTheShellBecomes() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        assertTrue(run.startsWith("run = \"exec java "), run);
        assertTrue(Pattern.compile("[;&|]").matcher(run).results().findAny().isEmpty(), run);
    }

    /**
     * A start on part of a core has no time to make methods for joined texts, nor to read the
     * calendars of the world.
     */
    @Test
    void startsMakeNoCodeAndLoadNoLocales() throws IOException {
        try (Stream<Path> classes = Files.walk(Path.of("target/classes"))) {
            for (Path path : classes.filter(file -> file.toString().endsWith(".class")).toList()) {
                String code = Files.readString(path, StandardCharsets.ISO_8859_1);
                assertFalse(
                        code.contains("makeConcatWithConstants"),
                        path + " joins text by code made at run time");
            }
        }
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml")).subList(0, 2)) {
            for (String word :
                    List.of(
                            "-Djava.locale.providers=COMPAT ",
                            "-Dslf4j.provider=org.slf4j.simple.")) {
                assertTrue(line.contains(word), "archived and run alike: " + line);
            }
        }
    }
}
