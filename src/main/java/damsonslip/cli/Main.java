package damsonslip.cli;

import damsonslip.admin.console.ConsoleClient;
import damsonslip.config.ConfigurationException;
import damsonslip.tools.conformance.Conformance;
import damsonslip.tools.lab.Lab;
import damsonslip.tools.load.Bench;
import damsonslip.tools.simulator.SimHost;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** The command line: {@code java -jar damsonslip.jar COMMAND}. */
public final class Main {
    private static final String USAGE =
            "usage: java -jar damsonslip.jar serve [FILE] | console [ADDRESS [COMMAND]] |"
                + " conformance HOST:PORT | bench HOST:PORT | fleet FOLDER | lab COMMAND | simhost"
                + " | rehearse";

    private static final int SUCCEEDED = 0;
    private static final int FAILED = 1;
    private static final int WRONG_USAGE = 2;

    /** Not an exit code: the process keeps running after {@link #run} has returned. */
    private static final int KEEPS_RUNNING = -1;

    private Main() {}

    /** Runs the command in the arguments, and exits unless it has started a scheduler. */
    public static void main(String[] args) {
        int code =
                run(
                        args,
                        new FileInputStream(FileDescriptor.in),
                        new FileOutputStream(FileDescriptor.out),
                        System.err);
        if (code != KEEPS_RUNNING) {
            System.exit(code);
        }
    }

    /**
     * Runs the command.
     *
     * @return the exit code: 0 if it succeeded, 1 on a configuration or I/O error, 2 on wrong
     *     usage; {@link #KEEPS_RUNNING} if it has started a scheduler
     */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (!isValidUsage(args)) {
            err.println(USAGE);
            return WRONG_USAGE;
        }
        PrintStream text = new PrintStream(out, true, StandardCharsets.UTF_8);
        List<String> options = List.of(args).subList(1, args.length);
        try {
            return switch (args[0]) {
                case "serve" -> serve(options);
                case "simhost" -> simulate(in, out);
                case "rehearse" -> rehearse();
                case "fleet" -> reportFleet(options, text);
                case "console" -> openConsole(options, text);
                case "conformance" -> Conformance.run(options, text);
                case "bench" -> Bench.run(options, text);
                case "lab" -> Lab.run(options, text, err);
                default -> throw new IllegalStateException("not a command: " + args[0]);
            };
        } catch (ConfigurationException | IOException e) {
            err.println("damsonslip: " + e.getMessage());
            return FAILED;
        }
    }

    /** Whether there is such a command with this number of arguments. */
    private static boolean isValidUsage(String[] args) {
        if (args.length == 0) {
            return false;
        }
        return switch (args[0]) {
            case "serve" -> args.length <= 2;
            case "fleet" -> args.length == 2;
            case "simhost", "rehearse" -> args.length == 1;
            case "console", "conformance", "bench", "lab" -> true;
            default -> false;
        };
    }

    private static int serve(List<String> options) throws ConfigurationException, IOException {
        ServeCommand.start(options.isEmpty() ? null : options.get(0), System.getenv());
        return KEEPS_RUNNING;
    }

    private static int simulate(InputStream in, OutputStream out)
            throws ConfigurationException, IOException {
        new SimHost(in, out).run();
        return SUCCEEDED;
    }

    private static int rehearse() throws ConfigurationException, IOException {
        Rehearsal.run();
        return SUCCEEDED;
    }

    private static int reportFleet(List<String> options, PrintStream out)
            throws ConfigurationException, IOException {
        FleetCommand.run(Path.of(options.get(0)), out);
        return SUCCEEDED;
    }

    private static int openConsole(List<String> options, PrintStream out)
            throws ConfigurationException, IOException {
        ConsoleClient.run(options, out);
        return SUCCEEDED;
    }
}
