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

    /** Commands that no scheduler runs, and the decisions, whose files are named one by one. */
    private static final Set<String> NOT_IN_NODE = Set.of("tools", "policy");

    @Test
    void policyNamesEveryFileThatDecides() throws IOException {
        try (Stream<Path> files = Files.list(SOURCES.resolve("policy"))) {
            assertEquals(names(files.filter(Files::isRegularFile)), named("policy"));
        }
    }

    @Test
    void nodeNamesEveryFolderOfTheScheduler() throws IOException {
        try (Stream<Path> folders = Files.list(SOURCES)) {
            TreeSet<String> expected =
                    names(folders.filter(path -> !NOT_IN_NODE.contains(name(path))));
            expected.add("policy/api");
            assertEquals(expected, named("node"));
        }
    }

    private static String name(Path path) {
        return path.getFileName().toString();
    }

    private static TreeSet<String> names(Stream<Path> paths) {
        return paths.map(path -> SOURCES.relativize(path).toString())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** The paths below the sources that this key of the deploy file lists. */
    private static TreeSet<String> named(String key) throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(each -> each.startsWith(key + " = "))
                        .findFirst()
                        .orElseThrow();
        return Pattern.compile("\"src/main/java/damsonslip/([^\"]+)\"")
                .matcher(line)
                .results()
                .map(found -> found.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void runExecutesOneProcess() throws IOException {
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
    void startsGenerateNoCodeAndLoadNoLocales() throws IOException {
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
