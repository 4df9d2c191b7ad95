package damsonslip.tools.lab;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Describes the machine and JVM of a run for the header of its CSV file. */
final class Machine {
    private Machine() {}

    static List<String> remarks(String command) {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        return List.of(
                "command: lab " + command,
                "machine: "
                        + processor()
                        + ", "
                        + Runtime.getRuntime().availableProcessors()
                        + " cores given, load "
                        + String.format(Locale.ROOT, "%.1f", load),
                "java: "
                        + System.getProperty("java.vm.version")
                        + ", heap "
                        + Runtime.getRuntime().maxMemory() / 1024 / 1024
                        + " MB, "
                        + String.join(
                                " ", ManagementFactory.getRuntimeMXBean().getInputArguments()));
    }

    private static String processor() {
        try {
            return Files.readAllLines(Path.of("/proc/cpuinfo")).stream()
                    .filter(line -> line.startsWith("model name"))
                    .map(line -> line.substring(line.indexOf(':') + 2))
                    .findFirst()
                    .orElse(System.getProperty("os.arch"));
        } catch (IOException e) {
            return System.getProperty("os.arch"); // not Linux
        }
    }
}
