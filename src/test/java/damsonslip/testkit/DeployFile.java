package damsonslip.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** Reads from {@code deploy/balancer.toml} how the platform starts a scheduler. */
public final class DeployFile {
    private static final Path FILE = Path.of("deploy/balancer.toml");

    /** The archive belongs to the jar, and the tests run the classes. */
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    private DeployFile() {}

    /** The whole command line of {@code run}, as the shell gets it. */
    public static String run() throws IOException {
        String line =
                Files.readAllLines(FILE).stream()
                        .filter(each -> each.startsWith("run = \""))
                        .findFirst()
                        .orElseThrow();
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    }

    /** The JVM's flags and limits in it, apart from the archive of the jar's classes. */
    public static List<String> jvmFlags() throws IOException {
        return Arrays.stream(run().split(" "))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(word -> !word.startsWith(ARCHIVE))
                .toList();
    }
}
