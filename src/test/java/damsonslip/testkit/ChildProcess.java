package damsonslip.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs a main class of the tests in a process of its own, for code that ends its process. */
public final class ChildProcess {
    private static final long TIMEOUT_S = 20;

    private ChildProcess() {}

    /** Runs the class's main method; returns the exit code of the process. */
    public static int run(Class<?> mainClass, String... args)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                mainClass.getName()));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).inheritIO().start();
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            throw new AssertionError("neither does its work nor ends: " + command);
        }
        return process.exitValue();
    }
}
