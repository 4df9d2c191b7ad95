package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code lab scale}: measures the real list decoding and scheduling policy at growing sizes of a
 * simulated fleet.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures one scheduler's costs at growing sizes, in one process.")
final class ScaleCommand implements Callable<Integer> {
    private static final ScaleRun.Effort QUICK = new ScaleRun.Effort(8, 300);
    private static final ScaleRun.Effort FULL = new ScaleRun.Effort(50, 2_000);

    /** Heap used per worker while its list is read: text, bytes, JSON tree and entries. */
    private static final long HEAP_BYTES_PER_WORKER = 3_000;

    private static final long HEAP_BYTES_PER_SCHEDULER = 500;
    private static final long HEAP_BYTES_PER_TEAM = 1_000;
    private static final int MAX_ZONES = 1_000;

    @Option(names = "--quick", description = "fewer repetitions: under 60 s")
    private boolean quick;

    @Option(names = "--csv", paramLabel = "FILE", description = "writes the samples there")
    private String csv;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "of ids, arrivals and times (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--workers",
            split = ",",
            defaultValue = "60,200,600,2000,5500",
            paramLabel = "N")
    private List<Integer> workers;

    @Option(names = "--schedulers", split = ",", defaultValue = "3,14,50,100,300", paramLabel = "N")
    private List<Integer> schedulers;

    @Option(names = "--teams", split = ",", defaultValue = "9,50,330", paramLabel = "N")
    private List<Integer> teams;

    @Option(names = "--zones", split = ",", defaultValue = "1,3,12", paramLabel = "N")
    private List<Integer> zones;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws ConfigurationException {
        check("workers", workers, Runtime.getRuntime().maxMemory() / 2 / HEAP_BYTES_PER_WORKER);
        check(
                "schedulers",
                schedulers,
                Runtime.getRuntime().maxMemory() / 2 / HEAP_BYTES_PER_SCHEDULER);
        check("teams", teams, Runtime.getRuntime().maxMemory() / 2 / HEAP_BYTES_PER_TEAM);
        check("zones", zones, MAX_ZONES);
        Path file = csv == null ? null : SampleFile.requireWritable(csv);
        ScaleRun.Sizes sizes = new ScaleRun.Sizes(workers, schedulers, teams, zones);
        List<String> remarks =
                Machine.remarks(
                        String.join(" ", spec.commandLine().getParseResult().originalArgs()));
        List<Sample> samples =
                new ScaleRun(
                                sizes,
                                quick ? QUICK : FULL,
                                seed,
                                line -> spec.commandLine().getErr().println(line))
                        .run();
        if (file != null) {
            SampleFile.write(file, remarks, samples);
        }
        remarks.forEach(remark -> spec.commandLine().getOut().println("# " + remark));
        SlopeReport.lines(samples).forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    private static void check(String name, List<Integer> sizes, long max)
            throws ConfigurationException {
        for (int size : sizes) {
            if (size < 1) {
                throw new ConfigurationException("lab: " + name + ": " + size + " is less than 1");
            }
            if (size > max) {
                throw new ConfigurationException(
                        "lab: "
                                + name
                                + ": "
                                + size
                                + " is beyond "
                                + max
                                + ", what this process may hold");
            }
        }
    }
}
