package damsonslip.tools.lab.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Builds the fault library from its C source with the C compiler of the system. */
public final class FaultLibrary {
    /** Path of the source, relative to the root of the repository. */
    public static final Path SOURCE = Path.of("src", "test", "c", "faults.c");

    private static final long BUILD_S = 60;

    private FaultLibrary() {}

    /**
     * Builds the library into this folder and returns its path, or nothing if there is no C
     * compiler.
     *
     * @throws IOException if the source cannot be built
     */
    public static Optional<Path> build(Path source, Path folder)
            throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path log = Files.createTempFile(folder, "faults", ".log");
        Path built = Files.createTempFile(folder, "faults", ".so");
        Process compiler;
        try {
            compiler =
                    new ProcessBuilder(
                                    "cc",
                                    "-shared",
                                    "-fPIC",
                                    "-O2",
                                    "-o",
                                    built.toString(),
                                    source.toString(),
                                    "-ldl")
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start();
        } catch (IOException e) { // no C compiler installed
            return Optional.empty();
        }
        if (!compiler.waitFor(BUILD_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            compiler.destroyForcibly();
            throw new IOException(
                    "the fault library was not built: "
                            + Files.readString(log, StandardCharsets.UTF_8));
        }
        Path library = folder.resolve("faults.so").toAbsolutePath();
        Files.move(
                built,
                library,
                StandardCopyOption.ATOMIC_MOVE); // another process may build it as well
        return Optional.of(library);
    }
}
