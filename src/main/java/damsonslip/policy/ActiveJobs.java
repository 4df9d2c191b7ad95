package damsonslip.policy;

import damsonslip.policy.api.JobArrived;
import java.util.HashMap;
import java.util.Map;

/** The jobs by id, from their arrival until they are answered and their last attempt has ended. */
final class ActiveJobs {
    private final Map<String, Job> jobs = new HashMap<>();
    private long arrivals;

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    /** Adds a job that has just arrived. */
    Job add(JobArrived arrival, WorkerPool homePool, int affinityWorkers, long nowUs) {
        Job job = new Job(arrival, homePool, nowUs, arrivals++, affinityWorkers);
        jobs.put(arrival.job(), job);
        homePool.jobArrived();
        return job;
    }

    /** Returns the job with this id if it has no final answer yet, else null. */
    Job findUnanswered(String id) {
        Job job = jobs.get(id);
        return job == null || job.isEnded() ? null : job;
    }

    /** Returns a job's attempt by number, or null. */
    JobAttempt findAttempt(String id, int number) {
        Job job = jobs.get(id);
        return job == null || number < 0 || number >= job.attempts().size()
                ? null
                : job.attempts().get(number);
    }

    /** Removes a job if it is answered and its last attempt has ended. */
    void removeIfFinished(Job job) {
        if (job.isEnded() && job.outstanding() == 0) {
            jobs.remove(job.id());
        }
    }
}
