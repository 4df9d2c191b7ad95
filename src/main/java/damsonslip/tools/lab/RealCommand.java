package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.lab.Sample.Axis;
import damsonslip.tools.lab.Sample.Basis;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code lab real}: measures real scheduler processes over loopback with the same endpoint lists,
 * to validate the results of the simulation.
 */
@Command(
        name = "real",
        mixinStandardHelpOptions = true,
        description =
                "Starts real schedulers over loopback and measures what the hollow ones only play.")
final class RealCommand implements Callable<Integer> {
    private static final int MAX_PROCESSES = 40;
    private static final int MAX_WORKERS = 20_000;
    private static final int CHANGES = 50;
    private static final long IDLE_MS = 10_000;

    @Option(names = "--csv", paramLabel = "FILE", description = "writes the samples there")
    private String csv;

    @Option(names = "--workers", split = ",", defaultValue = "60,600,2000,5500", paramLabel = "N")
    private List<Integer> workers;

    @Option(
            names = "--processes",
            defaultValue = "8",
            description = "side by side, at the last size (${DEFAULT-VALUE})")
    private int processes;

    @Option(names = "--seed", defaultValue = "1")
    private long seed;

    @Option(
            names = "--archive",
            paramLabel = "FILE",
            defaultValue = "target/damsonslip.jsa",
            description = "the class archive of the run line (${DEFAULT-VALUE})")
    private String archive;

    @Spec private CommandSpec spec;

    private final List<Sample> samples = new ArrayList<>();

    @Override
    public Integer call() throws ConfigurationException, IOException, InterruptedException {
        for (int size : workers) {
            if (size < 1 || size > MAX_WORKERS) {
                throw new ConfigurationException(
                        "lab: workers: " + size + " is not from 1 to " + MAX_WORKERS);
            }
        }
        if (processes < 1 || processes > MAX_PROCESSES) {
            throw new ConfigurationException(
                    "lab: processes: " + processes + " is not from 1 to " + MAX_PROCESSES);
        }
        Path file = csv == null ? null : SampleFile.requireWritable(csv);
        List<String> remarks =
                Machine.remarks(
                        String.join(" ", spec.commandLine().getParseResult().originalArgs()));
        for (int size : workers) {
            spec.commandLine().getErr().println("workers " + size);
            measureSize(size);
        }
        measureConcurrentProcesses(workers.get(workers.size() - 1));
        if (file != null) {
            SampleFile.write(file, remarks, samples);
        }
        remarks.forEach(remark -> spec.commandLine().getOut().println("# " + remark));
        SlopeReport.lines(samples).forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    private void measureSize(int size) throws IOException, InterruptedException {
        HollowFleet fleet = new HollowFleet(size, 100, 50, 3, seed);
        try (LoopbackDiscovery discovery = new LoopbackDiscovery();
                RealScheduler scheduler = new RealScheduler(fleet, discovery.port(), archive)) {
            add(Measure.PROCESS_READY, size, scheduler.readySeconds());
            add(Measure.PROCESS_START_CPU, size, scheduler.cpuMs());
            discovery.awaitWatch();
            add(Measure.PROCESS_RSS, size, scheduler.residentMb());
            double idle = idlePercent(scheduler);
            add(Measure.PROCESS_IDLE, size, idle);
            double before = scheduler.cpuMs();
            long from = System.nanoTime();
            for (int i = 0; i < CHANGES; i++) {
                int worker = i / 2 * 37 % size;
                discovery.broadcast(
                        fleet.changes(
                                2 + i, i % 2 == 0 ? "draining" : "ready", worker, worker + 1));
                Thread.sleep(20);
            }
            add(Measure.PROCESS_BACKLOG, size, idlePercent(scheduler));
            awaitBacklogDone(scheduler);
            double idleMs = idle / 100 * (System.nanoTime() - from) / 1e6;
            add(Measure.PROCESS_CHANGE_CPU, size, (scheduler.cpuMs() - before - idleMs) / CHANGES);
            add(Measure.PROCESS_IDLE_AFTER, size, idlePercent(scheduler));
            add(Measure.PROCESS_HEAP, size, scheduler.heapKb());
        }
    }

    /**
     * Waits until the work caused by the changes is done: until the process uses at most 250 ms of
     * CPU in 500 ms, for about 20 s at the longest.
     */
    private static void awaitBacklogDone(RealScheduler scheduler)
            throws IOException, InterruptedException {
        double last;
        int polls = 0;
        do {
            last = scheduler.cpuMs();
            Thread.sleep(500);
        } while (scheduler.cpuMs() - last > 250 && polls++ < 40);
    }

    private static double idlePercent(RealScheduler scheduler)
            throws IOException, InterruptedException {
        double cpu = scheduler.cpuMs();
        long from = System.nanoTime();
        Thread.sleep(IDLE_MS);
        return (scheduler.cpuMs() - cpu) / ((System.nanoTime() - from) / 1e6) * 100;
    }

    private void measureConcurrentProcesses(int size) throws IOException, InterruptedException {
        List<RealScheduler> started = new ArrayList<>();
        HollowFleet fleet = new HollowFleet(size, 100, 50, 3, seed);
        try (LoopbackDiscovery discovery = new LoopbackDiscovery()) {
            for (int i = 0; i < processes; i++) {
                started.add(new RealScheduler(fleet, discovery.port(), archive));
            }
            samples.add(
                    new Sample(
                            Measure.PROCESSES_STARTED,
                            Axis.SCHEDULERS,
                            processes,
                            started.size(),
                            Basis.COUNTED));
            double rss = 0;
            for (RealScheduler scheduler : started) {
                rss += scheduler.residentMb();
            }
            samples.add(
                    new Sample(
                            Measure.PROCESS_RSS, Axis.SCHEDULERS, processes, rss, Basis.MEASURED));
        } finally {
            started.forEach(RealScheduler::close);
        }
    }

    private void add(Measure measure, int size, double value) {
        samples.add(new Sample(measure, Axis.WORKERS, size, value, Basis.MEASURED));
    }
}
