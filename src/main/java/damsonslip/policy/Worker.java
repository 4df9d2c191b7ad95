package damsonslip.policy;

import damsonslip.membership.StartTimes;
import damsonslip.membership.WorkerLease;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker as this scheduler knows it: its entry on the worker list, the outstanding attempts that
 * were sent to it, and the state that the estimators and detectors of this package keep for it.
 *
 * <p>The fields from the worker list are set by {@link WorkerRegistry} alone. Times are
 * microseconds of the events' clock. Not safe for use by several threads.
 */
final class Worker {
    private final String id;
    private final long slowStartTurnOffset;
    private final List<JobAttempt> outstanding = new ArrayList<>();
    private final WorkerLoad load = new WorkerLoad();
    private final WorkerHealth health = new WorkerHealth();
    private final RunTimeRatio runTimeRatio = new RunTimeRatio();
    private final SlowStartWindow slowStartWindow = new SlowStartWindow();
    private final WorkerLease lease = new WorkerLease();
    private int zone;
    private int cell;
    private int kind;
    private boolean running;
    private long lastRunningUs;
    private long listedStart = StartTimes.LONG_AGO;
    private long startedUs = StartTimes.LONG_AGO;
    private boolean startObserved;
    private WorkerPool pool;

    Worker(String id) {
        this.id = id;
        this.slowStartTurnOffset = HashRing.mix(id.hashCode()) >>> 32;
    }

    String id() {
        return id;
    }

    /**
     * Shifts the schedulers' turns in slow start, so that the turns of one scheduler at workers
     * that started together fall into different windows.
     */
    long slowStartTurnOffset() {
        return slowStartTurnOffset;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    int kind() {
        return kind;
    }

    /** Whether the worker list says that it runs and is not draining. */
    boolean isRunning() {
        return running;
    }

    /** When it was last known to run. */
    long lastRunningUs() {
        return lastRunningUs;
    }

    /** Start time from the worker list, by the wall clock of the worker's machine. */
    long listedStart() {
        return listedStart;
    }

    /** Start time by the events' clock, or {@link StartTimes#LONG_AGO}. */
    long startedUs() {
        return startedUs;
    }

    /**
     * Whether the start was observed between two worker lists, so that {@link #startedUs} is known
     * independently of the machine's wall clock.
     */
    boolean isStartObserved() {
        return startObserved;
    }

    /** The pool it is dealt to, or null. */
    WorkerPool pool() {
        return pool;
    }

    /** Own attempts at this worker that have not ended, in the order in which they were sent. */
    List<JobAttempt> outstanding() {
        return outstanding;
    }

    WorkerLoad load() {
        return load;
    }

    WorkerHealth health() {
        return health;
    }

    RunTimeRatio runTimeRatio() {
        return runTimeRatio;
    }

    SlowStartWindow slowStartWindow() {
        return slowStartWindow;
    }

    /** Its lease from its own answers to probes, which counts while no worker list is valid. */
    WorkerLease lease() {
        return lease;
    }

    void update(WorkerEntry entry, long nowUs) {
        lastRunningUs = nowUs;
        running = entry.status() == WorkerStatus.RUNNING;
        zone = entry.zone();
        cell = entry.cell();
        kind = entry.kind();
    }

    /** Records that it no longer runs. */
    void recordStopped() {
        running = false;
    }

    /** Records that it still runs. */
    void recordStillRunning(long nowUs) {
        lastRunningUs = nowUs;
    }

    /** Records a start, and drops what was known about the previous process. */
    void restarted(long listedStart, long startedUs, boolean observed) {
        this.listedStart = listedStart;
        this.startObserved = observed;
        this.startedUs = startedUs;
        slowStartWindow.reset();
        health.reset();
        runTimeRatio.reset();
        load.forgetReport();
    }

    /** Corrects the start time by the events' clock. */
    void correctStart(long startedUs) {
        this.startedUs = startedUs;
    }

    /** Deals it to this pool, or to none if null. */
    void assignTo(WorkerPool pool) {
        this.pool = pool;
    }

    /** Memory of own outstanding jobs that were sent after this time. */
    double memorySentAfter(long timeUs) {
        return outstanding.stream()
                .filter(attempt -> attempt.sentUs() > timeUs)
                .mapToDouble(attempt -> attempt.job().memory())
                .sum();
    }

    /** Slots of own jobs that were sent before this time and have not been reported as started. */
    int slotsNotStartedSentBefore(long timeUs) {
        int slots = 0;
        for (JobAttempt attempt : outstanding) { // no stream: runs for each candidate of each job
            slots += attempt.isWaitingSince(timeUs) ? attempt.job().slots() : 0;
        }
        return slots;
    }
}
