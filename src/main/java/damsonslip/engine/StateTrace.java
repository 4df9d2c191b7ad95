package damsonslip.engine;

import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerState;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the settings, and once a second the counters, pools and warming workers to the trace log.
 * The words of its lines are read by {@code damsonslip.tools.fleetreport}.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class StateTrace {
    private static final Logger LOG = LoggerFactory.getLogger(RequestTrace.LOGGER_NAME);

    /** The fleet report sums the logs of all schedulers by second. */
    private static final long INTERVAL_US = TimeUnit.SECONDS.toMicros(1);

    private final boolean isEnabled = LOG.isDebugEnabled();
    private final EventLoop loop;
    private final Counters counters;
    private final SchedulingPolicy policy;

    StateTrace(EventLoop loop, Counters counters, SchedulingPolicy policy) {
        this.loop = loop;
        this.counters = counters;
        this.policy = policy;
    }

    /** Writes the settings of the scheduler and of each class. */
    void settings(Settings settings) {
        if (!isEnabled) {
            return;
        }
        LOG.debug(
                "settings dispatchers={} number={} zone={} atUs={} coldUs={} fallUs={}"
                        + " fallMultiple={}",
                settings.schedulers(),
                settings.schedulerIndex(),
                settings.zone(),
                loop.nowUs(),
                settings.guarantees().slowStartUs(),
                settings.guarantees().overloadWindowUs(),
                settings.guarantees().overloadFactor());
        for (int i = 0; i < settings.classes().size(); i++) {
            JobClass jobClass = settings.classes().get(i);
            LOG.debug(
                    "class {} aimUs={} stretch={} worth={}",
                    i,
                    jobClass.latencyObjectiveUs(),
                    jobClass.runTimeFactor(),
                    jobClass.priorityWeight());
        }
    }

    /** Writes the state now and then once a second, if the trace is enabled. */
    void start() {
        if (isEnabled) {
            writeAndReschedule();
        }
    }

    private void writeAndReschedule() {
        List<WorkerState> workers = policy.workers(loop.nowUs());
        LOG.debug("{}", counters);
        policy.pools().forEach(pool -> writePool(pool, workers));
        workers.stream()
                .filter(worker -> worker.running() && worker.warmingUp())
                .forEach(StateTrace::writeWarmingUpWorker);
        loop.scheduleAfter(INTERVAL_US, this::writeAndReschedule);
    }

    private static void writePool(PoolState pool, List<WorkerState> workers) {
        String members =
                workers.stream()
                        .filter(worker -> worker.pool() == pool.jobClass())
                        .map(WorkerState::id)
                        .collect(Collectors.joining(","));
        LOG.debug(
                "pool {} rate={} ms={} share={} free={} has={}",
                pool.jobClass(),
                (int) pool.arrivalRate(),
                (int) (pool.meanRunTimeUs() / 1000),
                pool.admissionShare(),
                (int) (100 * pool.freeShare()),
                members);
    }

    private static void writeWarmingUpWorker(WorkerState worker) {
        LOG.debug("cold {} partUs={}", worker.id(), (long) worker.slowStartBudgetUs());
    }
}
