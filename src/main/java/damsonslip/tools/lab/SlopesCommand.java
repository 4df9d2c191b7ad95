package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code lab slopes}: recomputes the tables of earlier runs from their CSV files. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Recomputes a run's tables from its CSV.")
final class SlopesCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "FILE",
            arity = "1..*",
            description =
                    "what lab scale and lab real wrote with --csv; of both, the ratio is told as"
                            + " well")
    private List<String> files;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws ConfigurationException {
        List<Sample> samples = new ArrayList<>();
        for (String file : files) {
            samples.addAll(SampleFile.read(file));
        }
        SlopeReport.lines(samples).forEach(spec.commandLine().getOut()::println);
        return 0;
    }
}
