package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import damsonslip.tools.lab.Sample.Axis;
import damsonslip.tools.lab.Sample.Basis;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One run along all axes: each axis is varied while the others stay at the size of the base fleet.
 */
final class ScaleRun {
    /**
     * Number of repetitions.
     *
     * @param changes measured list changes; the warm-up applies ten times as many
     * @param jobs jobs served before a measurement, and again while measuring
     */
    record Effort(int changes, int jobs) {}

    /** The sizes of each axis. */
    record Sizes(
            List<Integer> workers,
            List<Integer> schedulers,
            List<Integer> teams,
            List<Integer> zones) {}

    /**
     * Sizes of the axes that are not varied; one hundred schedulers, as in the first measurement.
     */
    private static final HollowFleet BASE = new HollowFleet(600, 100, 50, 3, 1);

    private static final int RACK_WORKERS = 20;

    /**
     * For the loss of a zone or region, the fleet is taken as twelve equal zones or four equal
     * regions.
     */
    private static final int ZONES = 12;

    private static final int REGIONS = 4;
    private static final int IDLE_DEALS = 12;
    private static final long DEAL_CYCLE_US = 1_050_000;
    private static final long SECOND_US = 1_000_000;
    private static final double RECENT_REPORT_SECONDS = 60;
    private static final long FAST_CALL_US = 10_000;
    private static final long SLOW_CALL_US = 30_000;

    /**
     * Bytes of one load probe on the wire: the request {@code GET /load HTTP/1.1} with {@code
     * Host}, and a response with a load report.
     */
    static final int PROBE_BYTES =
            "GET /load HTTP/1.1\r\nHost: app.svc\r\n\r\n".length()
                    + "HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT util=0.61, eps=0, x0=3\r\nContent-Length: 0\r\n\r\n"
                            .length();

    private final Sizes sizes;
    private final Effort effort;
    private final long seed;
    private final Consumer<String> progress;
    private final List<Sample> samples = new ArrayList<>();

    ScaleRun(Sizes sizes, Effort effort, long seed, Consumer<String> progress) {
        this.sizes = sizes;
        this.effort = effort;
        this.seed = seed;
        this.progress = progress;
    }

    List<Sample> run() throws ConfigurationException {
        warmUp();
        for (int size : sizes.workers()) {
            progress.accept("workers " + size);
            workers(new HollowFleet(size, BASE.schedulers(), BASE.teams(), BASE.zones(), seed));
        }
        for (int size : sizes.schedulers()) {
            progress.accept("schedulers " + size);
            schedulers(size);
        }
        for (int size : sizes.teams()) {
            progress.accept("teams " + size);
            decisions(
                    Axis.TEAMS,
                    size,
                    new HollowFleet(baseWorkers(), BASE.schedulers(), size, BASE.zones(), seed));
        }
        for (int size : sizes.zones()) {
            progress.accept("zones " + size);
            decisions(
                    Axis.ZONES,
                    size,
                    new HollowFleet(baseWorkers(), BASE.schedulers(), BASE.teams(), size, seed));
        }
        return samples;
    }

    /** Limits the base size to the largest requested number of workers. */
    private int baseWorkers() {
        return Math.min(
                BASE.workers(), sizes.workers().stream().max(Integer::compare).orElseThrow());
    }

    /** Warms up the JIT compiler, whose cost would otherwise be charged to the first size. */
    private void warmUp() throws ConfigurationException {
        int smallest = sizes.workers().stream().min(Integer::compare).orElseThrow();
        HollowFleet fleet =
                new HollowFleet(smallest, BASE.schedulers(), BASE.teams(), BASE.zones(), seed);
        HollowScheduler scheduler = warmedUpScheduler(fleet, new CpuTimes());
        applyChanges(scheduler, fleet, 10 * effort.changes());
    }

    private void workers(HollowFleet fleet) throws ConfigurationException {
        listBytes(fleet);
        decisions(Axis.WORKERS, fleet.workers(), fleet);
        failures(fleet);
        heap(fleet);
        reports(fleet);
    }

    private void listBytes(HollowFleet fleet) {
        int fullBytes = fleet.fullList(1).getBytes(StandardCharsets.UTF_8).length;
        int change = fleet.changes(2, "draining", 0, 1).getBytes(StandardCharsets.UTF_8).length;
        add(Measure.FULL_LIST_BYTES, Axis.WORKERS, fleet.workers(), fullBytes, Basis.COUNTED);
        add(
                Measure.FULL_LIST_SECONDS,
                Axis.WORKERS,
                fleet.workers(),
                fullBytes / Goal.MAX_BYTES_PER_SECOND,
                Basis.COUNTED);
        add(
                Measure.FULL_LIST_ALL_BYTES,
                Axis.WORKERS,
                fleet.workers(),
                (double) fullBytes * Goal.SCHEDULERS_POLLING,
                Basis.COUNTED);
        add(Measure.CHANGE_BYTES, Axis.WORKERS, fleet.workers(), change, Basis.COUNTED);
    }

    /** Measures the CPU time of the decision module after it has served jobs for a while. */
    private void decisions(Axis axis, int size, HollowFleet fleet) throws ConfigurationException {
        CpuTimes cpu = new CpuTimes();
        HollowScheduler scheduler = warmedUpScheduler(fleet, cpu);
        double firstList = cpu.sumUs(CpuTimes.Event.LIST) + cpu.sumUs(CpuTimes.Event.DECODE);
        add(
                Measure.DECODE_LIST_CPU,
                axis,
                size,
                cpu.sumUs(CpuTimes.Event.DECODE) / 1e3,
                Basis.MEASURED);
        add(Measure.START_CPU, axis, size, firstList / 1e3, Basis.MEASURED);
        cpu.clear();
        scheduler.serve(effort.jobs(), jobsPerSecond(fleet));
        double jobUs =
                cpu.medianUs(CpuTimes.Event.ARRIVAL) + 2 * cpu.medianUs(CpuTimes.Event.OUTCOME);
        add(Measure.JOB_CPU, axis, size, jobUs, Basis.MEASURED);
        add(
                Measure.JOB_CPU_TAIL,
                axis,
                size,
                cpu.percentileUs(CpuTimes.Event.ARRIVAL, 99),
                Basis.MEASURED);
        cpu.clear();
        scheduler.advance(IDLE_DEALS * DEAL_CYCLE_US);
        double dealUs = cpu.medianUs(CpuTimes.Event.DEAL);
        add(Measure.DEAL_CPU, axis, size, dealUs / 1e3, Basis.MEASURED);
        cpu.clear();
        applyChanges(scheduler, fleet, effort.changes());
        double changeUs = cpu.medianUs(CpuTimes.Event.LIST);
        double decodeUs = cpu.medianUs(CpuTimes.Event.DECODE);
        add(Measure.CHANGE_CPU, axis, size, changeUs / 1e3, Basis.MEASURED);
        add(Measure.DECODE_CHANGE_CPU, axis, size, decodeUs / 1e3, Basis.MEASURED);
        double changesPerSecond =
                Goal.LIST_CHANGES_PER_DAY / Goal.SECONDS_PER_DAY * fleet.workers() / Goal.WORKERS;
        double share =
                dealUs / DEAL_CYCLE_US + (changeUs + decodeUs) / SECOND_US * changesPerSecond;
        add(Measure.CONTROL_SHARE, axis, size, 100 * share, Basis.MEASURED);
    }

    private HollowScheduler warmedUpScheduler(HollowFleet fleet, CpuTimes cpu)
            throws ConfigurationException {
        HollowScheduler scheduler = new HollowScheduler(fleet, cpu);
        scheduler.receiveList(fleet.fullList(1));
        scheduler.serve(effort.jobs(), jobsPerSecond(fleet));
        return scheduler;
    }

    /**
     * Job rate of one scheduler: the goal's rate scaled to the fleet size and divided evenly among
     * the schedulers.
     */
    private static double jobsPerSecond(HollowFleet fleet) {
        return Goal.JOB_STARTS_PER_SECOND * fleet.workers() / Goal.WORKERS / fleet.schedulers();
    }

    /** Lets workers start draining and become ready again, one at a time. */
    private static void applyChanges(HollowScheduler scheduler, HollowFleet fleet, int count) {
        for (int i = 0; i < count; i++) {
            int worker = i / 2 * 37 % fleet.workers();
            scheduler.receiveList(
                    fleet.changes(2 + i, i % 2 == 0 ? "draining" : "ready", worker, worker + 1));
        }
    }

    private void failures(HollowFleet fleet) throws ConfigurationException {
        CpuTimes cpu = new CpuTimes();
        HollowScheduler scheduler = warmedUpScheduler(fleet, cpu);
        int workers = fleet.workers();
        cpu.clear();
        for (int i = 0; i < Math.min(RACK_WORKERS, workers); i++) {
            scheduler.receiveList(fleet.changes(2, "gone", i, i + 1));
        }
        double rackMs = listMs(cpu);
        add(Measure.RACK_CPU, Axis.WORKERS, workers, rackMs, Basis.MEASURED);
        add(
                Measure.RELEASE_CPU,
                Axis.WORKERS,
                workers,
                2 * rackMs / 1e3 / Math.min(RACK_WORKERS, workers) * workers,
                Basis.ESTIMATED);
        cpu.clear();
        scheduler.receiveList(fleet.changes(3, "gone", 0, Math.max(1, workers / ZONES)));
        add(Measure.ZONE_CPU, Axis.WORKERS, workers, listMs(cpu), Basis.MEASURED);
        cpu.clear();
        scheduler.receiveList(fleet.changes(4, "gone", 0, Math.max(1, workers / REGIONS)));
        scheduler.receiveList(fleet.changes(5, "ready", 0, Math.max(1, workers / REGIONS)));
        add(Measure.REGION_CPU, Axis.WORKERS, workers, listMs(cpu), Basis.MEASURED);
    }

    private static double listMs(CpuTimes cpu) {
        return (cpu.sumUs(CpuTimes.Event.LIST) + cpu.sumUs(CpuTimes.Event.DECODE)) / 1e3;
    }

    private void heap(HollowFleet fleet) {
        double withoutList = Heap.retainedKb(() -> newScheduler(fleet, false));
        double known = Heap.retainedKb(() -> newScheduler(fleet, true)) - withoutList;
        add(Measure.LIST_AND_POLICY_HEAP, Axis.WORKERS, fleet.workers(), known, Basis.MEASURED);
        double withRemoved =
                Heap.retainedKb(
                        () -> {
                            HollowScheduler scheduler = newScheduler(fleet, true);
                            int workers = fleet.workers();
                            scheduler.receiveList(
                                    fleet.changes(
                                            2,
                                            "ready",
                                            workers,
                                            workers + Goal.WORKERS_REPLACED_PER_DAY));
                            scheduler.receiveList(
                                    fleet.changes(
                                            3,
                                            "gone",
                                            workers,
                                            workers + Goal.WORKERS_REPLACED_PER_DAY));
                            return scheduler;
                        });
        add(
                Measure.REMOVED_WORKERS_HEAP,
                Axis.WORKERS,
                fleet.workers(),
                withRemoved - known - withoutList,
                Basis.MEASURED);
    }

    private static HollowScheduler newScheduler(HollowFleet fleet, boolean withList) {
        try {
            HollowScheduler scheduler = new HollowScheduler(fleet, new CpuTimes());
            if (withList) {
                scheduler.receiveList(fleet.fullList(1));
            }
            return scheduler;
        } catch (ConfigurationException e) {
            throw new IllegalStateException(
                    "generated settings of the simulated fleet are invalid", e);
        }
    }

    /** Measures the age of the workers' load reports after serving the jobs of the effort. */
    private void reports(HollowFleet fleet) throws ConfigurationException {
        HollowScheduler scheduler = warmedUpScheduler(fleet, new CpuTimes());
        scheduler.advance(0);
        List<Double> ages = scheduler.reportAges();
        long recent = ages.stream().filter(age -> age <= RECENT_REPORT_SECONDS).count();
        int medianIndex = fleet.workers() / 2;
        // Without reports from half of the workers, the median age is unbounded.
        if (medianIndex < ages.size()) {
            add(
                    Measure.REPORT_AGE,
                    Axis.WORKERS,
                    fleet.workers(),
                    ages.get(medianIndex),
                    Basis.COUNTED);
        }
        add(
                Measure.REPORTED_SHARE,
                Axis.WORKERS,
                fleet.workers(),
                100.0 * recent / fleet.workers(),
                Basis.COUNTED);
        add(
                Measure.PROBE_AGE,
                Axis.WORKERS,
                fleet.workers(),
                fleet.workers() * PROBE_BYTES / Goal.MAX_BYTES_PER_SECOND,
                Basis.ESTIMATED);
    }

    private void schedulers(int size) throws ConfigurationException {
        decisions(
                Axis.SCHEDULERS,
                size,
                new HollowFleet(baseWorkers(), size, BASE.teams(), BASE.zones(), seed));
        HollowDiscovery fast = new HollowDiscovery(size, seed).outage(FAST_CALL_US);
        HollowDiscovery slow = new HollowDiscovery(size, seed).outage(SLOW_CALL_US);
        double jobsPerWorkerPerSecond = Goal.JOB_STARTS_PER_SECOND / Goal.WORKERS;
        add(
                Measure.REPORT_AGE_MEAN,
                Axis.SCHEDULERS,
                size,
                size / jobsPerWorkerPerSecond,
                Basis.ESTIMATED);
        add(
                Measure.OUTAGE_CALLS_PER_SECOND,
                Axis.SCHEDULERS,
                size,
                fast.rejectedCallsPerSecond(),
                Basis.COUNTED);
        add(Measure.RECOVERY_SECONDS, Axis.SCHEDULERS, size, fast.recoverySeconds(), Basis.COUNTED);
        add(
                Measure.RECOVERY_SLOW_CALLS_SECONDS,
                Axis.SCHEDULERS,
                size,
                slow.recoverySeconds(),
                Basis.COUNTED);
        add(
                Measure.CALL_SLOT_MS,
                Axis.SCHEDULERS,
                size,
                Math.min(Goal.WATCH_CYCLE_MS / size, Goal.MAX_WATCH_SLOT_MS),
                Basis.ESTIMATED);
    }

    private void add(Measure measure, Axis axis, int size, double value, Basis basis) {
        samples.add(new Sample(measure, axis, size, value, basis));
    }
}
