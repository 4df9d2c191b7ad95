package damsonslip.policy;

import java.util.List;
import java.util.PriorityQueue;

/** The admitted jobs of one class that wait for a worker, in order of arrival. */
final class AdmissionQueue {
    private final PriorityQueue<Job> jobs = new PriorityQueue<>();
    private boolean blocked;

    /** Adds a job that waits from now on. */
    void add(Job job) {
        job.setQueued(true);
        jobs.add(job);
    }

    /** Puts back polled jobs that have to keep waiting. */
    void putBack(List<Job> waiting) {
        jobs.addAll(waiting);
    }

    /** Removes the first entry; its job may have ended or been sent meanwhile. */
    Job poll() {
        return jobs.poll();
    }

    /** Whether there are no entries, counting those of jobs that have ended. */
    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /** How many jobs wait. */
    int waitingJobs() {
        return (int) jobs.stream().filter(Job::isQueued).count();
    }

    /**
     * Whether the last dispatch left jobs that could not be sent, and nothing has changed since.
     */
    boolean isBlocked() {
        return blocked;
    }

    void setBlocked(boolean blocked) {
        this.blocked = blocked;
    }
}
