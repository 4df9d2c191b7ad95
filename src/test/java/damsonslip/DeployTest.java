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

/** The deploy file lists the sources that make up the scheduler, and the command that starts it. */
class DeployTest {
    private static final Path SOURCES = Path.of("src/main/java/damsonslip");

    /**
     * Not listed as folders under "node": command-line tools, which a scheduler does not run, and
     * the policy, whose files are listed one by one under "policy".
     */
    private static final Set<String> NOT_IN_NODE = Set.of("tools", "policy");

    @Test
    void policyListsEveryFileOfThePolicy() throws IOException {
        try (Stream<Path> files = Files.list(SOURCES.resolve("policy"))) {
            assertEquals(relativePaths(files.filter(Files::isRegularFile)), listedPaths("policy"));
        }
    }

    @Test
    void nodeListsEveryFolderOfTheScheduler() throws IOException {
        try (Stream<Path> folders = Files.list(SOURCES)) {
            TreeSet<String> expected =
                    relativePaths(folders.filter(path -> !NOT_IN_NODE.contains(fileName(path))));
            expected.add("policy/api");
            assertEquals(expected, listedPaths("node"));
        }
    }

    private static String fileName(Path path) {
        return path.getFileName().toString();
    }

    private static TreeSet<String> relativePaths(Stream<Path> paths) {
        return paths.map(path -> SOURCES.relativize(path).toString())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** The paths below the sources that this key of the deploy file lists. */
    private static TreeSet<String> listedPaths(String key) throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                        .filter(each -> each.startsWith(key + " = "))
                        .findFirst()
                        .orElseThrow();
        return Pattern.compile("\"src/main/java/damsonslip/([^\"]+)\"")
                .matcher(line)
                .results()
                .map(match -> match.group(1))
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
     * On a fraction of a core, generating string concatenation methods at run time and loading the
     * CLDR locale data would make the start too slow.
     */
    @Test
    void startGeneratesNoCodeAndLoadsNoLocales() throws IOException {
        try (Stream<Path> classes = Files.walk(Path.of("target/classes"))) {
            for (Path path : classes.filter(file -> file.toString().endsWith(".class")).toList()) {
                String code = Files.readString(path, StandardCharsets.ISO_8859_1);
                assertFalse(
                        code.contains("makeConcatWithConstants"),
                        path + " concatenates strings with code generated at run time");
            }
        }
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml")).subList(0, 2)) {
            for (String word :
                    List.of(
                            "-Djava.locale.providers=COMPAT ",
                            "-Dslf4j.provider=org.slf4j.simple.")) {
                assertTrue(line.contains(word), "build and run need the same options: " + line);
            }
        }
    }
}
