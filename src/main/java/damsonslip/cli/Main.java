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

    private Main() {}

    public static void main(String[] args) {
        int code =
                run(
                        args,
                        new FileInputStream(FileDescriptor.in),
                        new FileOutputStream(FileDescriptor.out),
                        System.err);
        if (code >= 0) {
            System.exit(code);
        }
    }

    /**
     * Runs the command and returns its exit code: 1 on bad input, 2 on usage, -1 while it goes on
     * serving.
     */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        String command = args.length == 0 ? "" : args[0];
        boolean withFile = args.length == 2 && command.equals("serve");
        boolean withMore =
                List.of("console", "conformance", "bench", "lab").contains(command)
                        || args.length == 2 && command.equals("fleet");
        if (args.length != 1 && !withFile && !withMore) {
            err.println(USAGE);
            return 2;
        }
        try {
            switch (command) {
                case "simhost" -> new SimHost(in, out).run();
                case "serve" -> {
                    Serve.start(withFile ? args[1] : null, System.getenv());
                    return -1;
                }
                case "rehearse" -> Rehearsal.run();
                case "fleet" -> {
                    if (args.length != 2) {
                        err.println(USAGE);
                        return 2;
                    }
                    FleetLogs.run(
                            Path.of(args[1]), new PrintStream(out, true, StandardCharsets.UTF_8));
                }
                case "console" ->
                        ConsoleClient.run(
                                List.of(args).subList(1, args.length),
                                new PrintStream(out, true, StandardCharsets.UTF_8));
                case "conformance" -> {
                    return Conformance.run(
                            List.of(args).subList(1, args.length),
                            new PrintStream(out, true, StandardCharsets.UTF_8));
                }
                case "bench" -> {
                    return Bench.run(
                            List.of(args).subList(1, args.length),
                            new PrintStream(out, true, StandardCharsets.UTF_8));
                }
                case "lab" -> {
                    return Lab.run(
                            List.of(args).subList(1, args.length),
                            new PrintStream(out, true, StandardCharsets.UTF_8),
                            err);
                }
                default -> {
                    err.println(USAGE);
                    return 2;
                }
            }
            return 0;
        } catch (ConfigurationException | IOException e) {
            err.println("damsonslip: " + e.getMessage());
            return 1;
        }
    }
}
