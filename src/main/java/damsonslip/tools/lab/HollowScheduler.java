package damsonslip.tools.lab;

import damsonslip.config.ConfigurationException;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.codec.JsonObjectDecoder;
import damsonslip.platform.codec.MalformedListException;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs the real list decoding and scheduling policy of one scheduler on a simulated clock with
 * simulated jobs and workers, without sockets or threads. Times are in microseconds. The same fleet
 * and seed give the same decisions; only the CPU times differ.
 */
final class HollowScheduler {
    private static final long START_US = 1_000_000;
    private static final int MAX_OBJECT_BYTES = 64 * 1024 * 1024;
    private static final long START_DELAY_US = 2_000;

    /**
     * Mean number of free slots in a load report: a worker has about four slots, and the goal's
     * load leaves two of them free.
     */
    private static final double MEAN_FREE_SLOTS = 2;

    private static final String DEAL_LABEL = "deal";

    private record Due(long atUs, long order, Event event) {}

    private final HollowFleet fleet;
    private final SchedulingPolicy policy;
    private final WorkerRegistry registry;
    private final EndpointListDecoder listDecoder;
    private final CpuTimes cpu;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingLong(Due::atUs).thenComparingLong(Due::order));
    private final Map<String, Long> reportedAt = new HashMap<>();
    private final Map<String, String> sentTo = new HashMap<>();
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential exponential;
    private final long meanJobUs;
    private long now = START_US;
    private long order;
    private int jobs;

    HollowScheduler(HollowFleet fleet, CpuTimes cpu) throws ConfigurationException {
        this.fleet = fleet;
        this.cpu = cpu;
        this.policy = new SchedulingPolicy(fleet.site().settings(), fleet.seed());
        this.registry = new WorkerRegistry(fleet.site().settings().guarantees().drainGraceUs());
        this.listDecoder = new EndpointListDecoder(fleet.site(), registry::address);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.seed());
        this.exponential = ZigguratSampler.Exponential.of(random);
        this.meanJobUs = Math.round(Goal.MEAN_JOB_SECONDS * 1e6);
    }

    /** Decodes and applies an endpoint list received from discovery. */
    void receiveList(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        EndpointList[] update = new EndpointList[1];
        List<List<WorkerEntry>> workers = new ArrayList<>();
        cpu.time(
                CpuTimes.Event.DECODE,
                () -> {
                    update[0] = decode(bytes);
                    workers.add(registry.apply(update[0], now));
                });
        WorkerListChange mode = update[0].change();
        handle(CpuTimes.Event.LIST, new WorkerListUpdate(mode, workers.get(0)));
    }

    private EndpointList decode(byte[] bytes) {
        try {
            return listDecoder.decode(new JsonObjectDecoder(MAX_OBJECT_BYTES).decode(bytes).get(0));
        } catch (MalformedListException e) {
            throw new IllegalStateException("generated endpoint list is malformed", e);
        }
    }

    /** Submits {@code count} jobs as a Poisson process and advances the clock accordingly. */
    void serve(int count, double jobsPerSecond) {
        for (int i = 0; i < count; i++) {
            advance(Math.round(exponential.sample() / jobsPerSecond * 1e6));
            int jobClass = jobs % HollowFleet.CLASSES;
            int team = random.nextInt(fleet.teams());
            handle(
                    CpuTimes.Event.ARRIVAL,
                    new JobArrived("j" + jobs++, jobClass, team, null, now + 4 * meanJobUs, 1, 0));
        }
    }

    /** Advances the clock and handles the events that fall due. */
    void advance(long us) {
        long end = now + us;
        while (!due.isEmpty() && due.peek().atUs() <= end) {
            Due next = due.poll();
            now = Math.max(now, next.atUs());
            handle(kind(next.event()), next.event());
        }
        now = end;
    }

    private static CpuTimes.Event kind(Event event) {
        if (event instanceof TimerDue timer) {
            return timer.label().equals(DEAL_LABEL) ? CpuTimes.Event.DEAL : CpuTimes.Event.TIMER;
        }
        return CpuTimes.Event.OUTCOME;
    }

    private void handle(CpuTimes.Event kind, Event event) {
        List<Action> actions = new ArrayList<>();
        cpu.time(kind, () -> policy.handle(now, event, actions));
        if (event instanceof AttemptEnded ended && ended.report() != null) {
            reportedAt.put(sentTo.remove(ended.job()), now);
        }
        actions.forEach(this::perform);
    }

    private void perform(Action action) {
        if (action instanceof SetTimer timer) {
            schedule(timer.atUs(), new TimerDue(timer.label()));
        } else if (action instanceof Send send) {
            sentTo.put(send.job(), send.worker());
            schedule(now + START_DELAY_US, new AttemptStarted(send.job(), 0));
            schedule(
                    now + START_DELAY_US + Math.round(exponential.sample() * meanJobUs),
                    new AttemptEnded(
                            send.job(),
                            0,
                            AttemptOutcome.SERVED,
                            true,
                            new LoadReport(
                                    exponential.sample() * MEAN_FREE_SLOTS,
                                    Double.NaN,
                                    Double.NaN)));
        }
    }

    private void schedule(long atUs, Event event) {
        due.add(new Due(atUs, order++, event));
    }

    /**
     * Returns the age in seconds of the latest report of each worker that has sent one, in
     * ascending order.
     */
    List<Double> reportAges() {
        return reportedAt.values().stream().map(at -> (now - at) / 1e6).sorted().toList();
    }

    /** Number of workers that the policy knows. */
    int knownWorkers() {
        return policy.workers(now).size();
    }
}
