package damsonslip.policy;

import damsonslip.policy.api.JobClass;
import java.util.Arrays;
import java.util.List;

/**
 * A job class and the workers dealt to it, with its estimates, its admission threshold and its
 * queue.
 *
 * <p>Times are microseconds. Not safe for use by several threads.
 */
final class WorkerPool {
    /** Weight of a job in the mean slots of a job. */
    private static final double SLOTS_PER_JOB_WEIGHT = 0.02;

    /** Keeps the share of the load above 0 until it is measured. */
    private static final double INITIAL_LOAD_SHARE = 1e-6;

    private final JobClass jobClass;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final RunTimeEstimator runTimes;
    private final AffinityLoad affinityLoad = new AffinityLoad();
    private final FreeShareEstimate[][] warmFreeShares;
    private final FreeShareEstimate[][] slowStartFreeShares;
    private double slotsPerJob = 1;
    private double loadShare = INITIAL_LOAD_SHARE;
    private double slots;
    private int admissionShare = 1;
    private int jobsPresent;
    private List<Worker> members = List.of();
    private Worker[] ring = {};

    WorkerPool(JobClass jobClass, int kinds, int zones) {
        this.jobClass = jobClass;
        this.runTimes = new RunTimeEstimator(Math.max(jobClass.latencyObjectiveUs(), 1));
        this.warmFreeShares = estimates(kinds, zones);
        this.slowStartFreeShares = estimates(kinds, zones);
    }

    private static FreeShareEstimate[][] estimates(int kinds, int zones) {
        FreeShareEstimate[][] estimates = new FreeShareEstimate[kinds][zones];
        for (FreeShareEstimate[] ofKind : estimates) {
            Arrays.setAll(ofKind, zone -> new FreeShareEstimate());
        }
        return estimates;
    }

    JobClass jobClass() {
        return jobClass;
    }

    AdmissionQueue queue() {
        return queue;
    }

    ArrivalRate arrivalRate() {
        return arrivalRate;
    }

    RunTimeEstimator runTimes() {
        return runTimes;
    }

    AffinityLoad affinityLoad() {
        return affinityLoad;
    }

    /** The free share at its workers of this one's kind and zone, and also warming up or not. */
    FreeShareEstimate freeShareEstimate(Worker worker, boolean warmingUp) {
        FreeShareEstimate[][] estimates = warmingUp ? slowStartFreeShares : warmFreeShares;
        return estimates[worker.kind()][worker.zone()];
    }

    /** Latency objective of a job of mean run time. */
    double objectiveUs() {
        return jobClass.latencyObjectiveUs() + jobClass.runTimeFactor() * runTimes.meanUs();
    }

    /** How long a median job may wait and still end in time; long tails raise only the mean. */
    double slackUs() {
        return jobClass.latencyObjectiveUs()
                + (jobClass.runTimeFactor() - 1) * Math.min(runTimes.medianUs(), runTimes.meanUs());
    }

    /** What the class earns by a slot in a microsecond. */
    double valueOfSlot() {
        return jobClass.priorityWeight() / (runTimes.meanUs() * slotsPerJob);
    }

    /** Mean slots of a job. */
    double slotsPerJob() {
        return slotsPerJob;
    }

    /** Takes the slots of a job into their mean. */
    void observeSlots(int jobSlots) {
        slotsPerJob += SLOTS_PER_JOB_WEIGHT * (jobSlots - slotsPerJob);
    }

    /** The part of the whole load by which it is sized. */
    double loadShare() {
        return loadShare;
    }

    void setLoadShare(double share) {
        loadShare = share;
    }

    /** Slots of its workers. */
    double slots() {
        return slots;
    }

    /** Releases all workers before a new deal. */
    void clearSlots() {
        slots = 0;
    }

    /** Deals a worker with this number of slots to it. */
    void deal(Worker worker, double workerSlots) {
        worker.assignTo(this);
        slots += workerSlots;
    }

    /** Its workers, by id within each kind and zone. */
    List<Worker> members() {
        return members;
    }

    /** Its workers in the order of their points on the hash ring, with repetitions. */
    Worker[] ring() {
        return ring;
    }

    /** Sets its workers, each with so many points on the ring. */
    void setMembers(List<Worker> workers, int pointsEach) {
        if (!workers.equals(members) || ring.length != workers.size() * pointsEach) {
            members = workers;
            ring = HashRing.of(workers, pointsEach);
        }
    }

    /** Jobs present that this scheduler admits, its share of the threshold. */
    int admissionShare() {
        return admissionShare;
    }

    void setAdmissionShare(int jobs) {
        admissionShare = jobs;
    }

    /** Jobs of the class at this scheduler that are not answered. */
    int jobsPresent() {
        return jobsPresent;
    }

    void jobArrived() {
        jobsPresent++;
    }

    void jobEnded() {
        jobsPresent--;
    }
}
