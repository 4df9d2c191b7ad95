package damsonslip.cli;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.fleetreport.Fleet;
import damsonslip.tools.fleetreport.Report;
import damsonslip.tools.fleetreport.TraceLine;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.Stream;

/**
 * The command {@code fleet}: reads a directory with one log file for each scheduler and prints a
 * report over all of them.
 */
final class FleetCommand {
    private FleetCommand() {}

    /**
     * A scheduler's log and its next trace line. Logs are merged while they are read, since
     * together they may not fit in memory.
     */
    private static final class Log {
        private final String name;
        private final BufferedReader reader;
        private TraceLine next;

        Log(Path file) throws IOException {
            name = file.getFileName().toString();
            CharsetDecoder decoder =
                    StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE);
            reader = new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder));
        }

        /** Reads up to the next trace line; returns false and closes the log if there is none. */
        boolean advance() throws IOException {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                next = TraceLine.of(text);
                if (next != null) {
                    return true;
                }
            }
            reader.close();
            return false;
        }
    }

    /**
     * Prints the report over all log files in a directory.
     *
     * @throws ConfigurationException if this is not a directory, or holds no traces
     */
    static void run(Path directory, PrintStream out) throws ConfigurationException, IOException {
        if (!Files.isDirectory(directory)) {
            throw new ConfigurationException("fleet: not a folder of logs: " + directory);
        }
        List<Path> files;
        try (Stream<Path> listed = Files.list(directory)) {
            files = listed.filter(Files::isRegularFile).sorted().toList();
        }
        PriorityQueue<Log> logs =
                new PriorityQueue<>(Comparator.comparingLong((Log log) -> log.next.atUs()));
        for (Path file : files) {
            Log log = new Log(file);
            if (log.advance()) {
                logs.add(log);
            }
        }
        if (logs.isEmpty()) {
            throw new ConfigurationException(
                    "fleet: no traces in "
                            + directory
                            + "; run the schedulers with deploy/trace.toml");
        }
        Fleet fleet = new Fleet();
        for (Log log = logs.poll(); log != null; log = logs.poll()) {
            fleet.add(log.name, log.next);
            if (log.advance()) {
                logs.add(log);
            }
        }
        fleet.end();
        out.print(Report.of(fleet));
    }
}
