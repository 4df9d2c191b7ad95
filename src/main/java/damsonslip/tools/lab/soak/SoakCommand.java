package damsonslip.tools.lab.soak;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.lab.soak.Ledger.Finding;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code lab soak}: runs real schedulers under overlapping faults and checks the rules of the
 * protocol.
 */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Runs seeds of overlapping faults on real schedulers over loopback, and names"
                        + " each broken rule.")
public final class SoakCommand implements Callable<Integer> {
    private static final int MAX_PROCESSES = 60;
    private static final int MAX_SECONDS = 60;
    private static final int MAX_FINDINGS = 12;

    @Option(names = "--seed", defaultValue = "1", description = "the first seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--count", defaultValue = "1", description = "so many seeds (${DEFAULT-VALUE})")
    private int count;

    @Option(
            names = "--seconds",
            defaultValue = "12",
            description = "of load for each seed (${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--processes",
            defaultValue = "24",
            description = "schedulers (${DEFAULT-VALUE})")
    private int processes;

    @Option(
            names = "--without",
            split = ",",
            description = "faults of the plan to leave out, by number")
    private Set<Integer> without = new HashSet<>();

    @Option(
            names = "--only",
            split = ",",
            description = "the only faults of the plan to keep, by number")
    private Set<Integer> only = new HashSet<>();

    @Option(
            names = "--shrink",
            description = "leaves faults of a failing seed out until only the needed ones are left")
    private boolean shrink;

    @Option(
            names = "--folder",
            defaultValue = "target/soak",
            description = "for logs (${DEFAULT-VALUE})")
    private Path folder;

    @Option(
            names = "--jar",
            defaultValue = "target/damsonslip.jar",
            description = "the program (${DEFAULT-VALUE})")
    private Path jar;

    @Option(
            names = "--archive",
            defaultValue = "target/damsonslip.jsa",
            description = "its classes (${DEFAULT-VALUE})")
    private Path archive;

    @Option(
            names = "--faults",
            defaultValue = "src/test/c/faults.c",
            description = "the source of the fault library (${DEFAULT-VALUE})")
    private Path faults;

    @Spec private CommandSpec spec;

    private Optional<Path> library = Optional.empty();

    @Override
    public Integer call() throws ConfigurationException, IOException, InterruptedException {
        check("processes", processes, MAX_PROCESSES);
        check("seconds", seconds, MAX_SECONDS);
        PrintWriter out = spec.commandLine().getOut();
        library = Files.exists(faults) ? FaultLibrary.build(faults, folder) : Optional.empty();
        if (library.isEmpty()) {
            out.println("no C compiler or no " + faults + ": failing system calls are NOT RUN");
        }
        int failed = 0;
        for (long next = seed; next < seed + count; next++) {
            SoakPlan plan = plan(next, without, only);
            Verdict verdict = run(plan);
            print(out, plan, verdict);
            if (!verdict.passed()) {
                failed++;
                if (shrink) {
                    shrink(out, next, verdict);
                }
            }
        }
        out.printf(
                "seeds %d to %d: %d passed, %d failed%n",
                seed, seed + count - 1, count - failed, failed);
        return failed == 0 ? 0 : 1;
    }

    private static void check(String name, int value, int max) throws ConfigurationException {
        if (value < 1 || value > max) {
            throw new ConfigurationException(
                    "lab: " + name + ": " + value + " is not from 1 to " + max);
        }
    }

    private SoakPlan plan(long of, Set<Integer> leftOut, Set<Integer> kept) {
        return new SoakPlan(of, processes, seconds * Clock.SECOND, leftOut, kept);
    }

    private Verdict run(SoakPlan plan) throws IOException, InterruptedException {
        Path own =
                Files.createTempDirectory(
                        Files.createDirectories(folder), "seed-" + plan.seed() + "-");
        SchedulerProcess.Setup shared = new SchedulerProcess.Setup(own, program(), "");
        Verdict verdict = new SoakRun(plan, seconds * Clock.SECOND, own, library, shared).run();
        if (verdict.passed()) {
            delete(own);
        }
        return verdict;
    }

    private List<String> program() {
        List<String> words = new ArrayList<>();
        if (Files.exists(archive)) {
            words.add("-XX:SharedArchiveFile=" + archive);
        }
        words.addAll(List.of("-jar", jar.toString()));
        return words;
    }

    private static void delete(Path tree) throws IOException {
        try (Stream<Path> paths = Files.walk(tree)) {
            for (Path path : paths.sorted((one, other) -> other.compareTo(one)).toList()) {
                Files.delete(path);
            }
        }
    }

    private void print(PrintWriter out, SoakPlan plan, Verdict verdict) {
        out.printf(
                "seed %d: %s; %d requests, %d served, %d kept connections ended under one, ",
                plan.seed(),
                verdict.passed() ? "passed" : "FAILED",
                verdict.requests(),
                verdict.served(),
                verdict.closedKept());
        out.printf(
                "guards %d, held up %d ms, %d us of CPU a request; %s%n",
                verdict.violations(),
                verdict.longestStallUs() / Clock.MILLISECOND,
                verdict.cpuUs(),
                plan.faults());
        verdict.findings().stream()
                .limit(MAX_FINDINGS)
                .forEach(
                        one ->
                                out.println(
                                        "  " + one.rule() + " " + one.id() + ": " + one.detail()));
        if (verdict.findings().size() > MAX_FINDINGS) {
            out.println(
                    "  and "
                            + (verdict.findings().size() - MAX_FINDINGS)
                            + " more: "
                            + verdict.findings().stream()
                                    .collect(
                                            Collectors.groupingBy(
                                                    Finding::rule, Collectors.counting())));
        }
        out.flush();
    }

    /**
     * Removes faults from the plan one by one, as long as one of the same rules is still broken
     * without them.
     */
    private void shrink(PrintWriter out, long of, Verdict verdict)
            throws IOException, InterruptedException {
        Set<String> rules =
                verdict.findings().stream().map(Finding::rule).collect(Collectors.toSet());
        Set<Integer> leftOut = new HashSet<>(without);
        for (InjectedFault fault : plan(of, without, only).faults()) {
            Set<Integer> trial = new HashSet<>(leftOut);
            trial.add(fault.number());
            List<Finding> found = run(plan(of, trial, only)).findings();
            if (found.stream().anyMatch(one -> rules.contains(one.rule()))) {
                leftOut = trial;
            }
        }
        out.println("seed " + of + " needs " + plan(of, leftOut, only).faults());
    }
}
