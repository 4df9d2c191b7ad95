package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.lab.soak.SoakCommand;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command {@code lab}: measuring tools that are never loaded by a serving scheduler. */
@Command(
        name = "lab",
        description = "Measures how a scheduler's costs grow with its fleet.",
        subcommands = {
            ScaleCommand.class,
            SlopesCommand.class,
            RealCommand.class,
            SoakCommand.class
        })
public final class Lab {
    private static final int BAD_INPUT = 1;
    private static final int USAGE = 2;

    private Lab() {}

    /** Runs a lab command and returns its exit code: 1 for invalid input, 2 for a usage error. */
    public static int run(List<String> args, PrintStream out, PrintStream err) {
        CommandLine line = new CommandLine(new Lab());
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        line.setParameterExceptionHandler(
                (exception, words) -> {
                    err.println("damsonslip: lab: " + firstLine(exception));
                    return USAGE;
                });
        line.setExecutionExceptionHandler(
                (exception, command, parsed) -> {
                    if (!(exception instanceof ConfigurationException)) {
                        throw exception;
                    }
                    err.println("damsonslip: " + firstLine(exception));
                    return BAD_INPUT;
                });
        if (args.isEmpty()) {
            err.println(
                    "usage: java -jar damsonslip.jar lab scale | slopes FILE | real | soak (--help"
                            + " tells more)");
            return USAGE;
        }
        return line.execute(args.toArray(String[]::new));
    }

    private static String firstLine(Exception exception) {
        return String.valueOf(exception.getMessage()).lines().findFirst().orElse("");
    }
}
