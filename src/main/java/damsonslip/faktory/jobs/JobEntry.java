package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;

/** An open job in a {@link JobTable}, with its position there. Changed by the table only. */
public final class JobEntry {
    private final int jobClass;
    private JobRecord record;
    private boolean dispatched;
    private long notBeforeMs;
    private long enqueuedMs;

    JobEntry(JobRecord record, int jobClass) {
        this.record = record;
        this.jobClass = jobClass;
    }

    /** The job's current record. */
    public JobRecord record() {
        return record;
    }

    /** The index of the job's class. */
    public int jobClass() {
        return jobClass;
    }

    /** The job's id. */
    public String id() {
        return record.id();
    }

    /** Whether it is held by the scheduling policy or a worker. */
    public boolean isDispatched() {
        return dispatched;
    }

    /** When it last entered a queue, in milliseconds since the Unix epoch; 0 if it never did. */
    public long enqueuedMs() {
        return enqueuedMs;
    }

    /** The time before which it is not dispatched again, in milliseconds since the Unix epoch. */
    long notBeforeMs() {
        return notBeforeMs;
    }

    void setRecord(JobRecord next) {
        record = next;
    }

    void setDispatched(boolean isDispatched) {
        dispatched = isDispatched;
    }

    void setNotBeforeMs(long atMs) {
        notBeforeMs = atMs;
    }

    void setEnqueuedMs(long atMs) {
        enqueuedMs = atMs;
    }
}
