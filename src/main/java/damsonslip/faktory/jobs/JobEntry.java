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

    /** The job's present record. */
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

    /** Whether the decision module or a worker has it. */
    public boolean isDispatched() {
        return dispatched;
    }

    /**
     * When it entered its queue, in milliseconds since the Unix epoch; 0 if it has not been in one.
     */
    public long enqueuedMs() {
        return enqueuedMs;
    }

    /** The time before which it is not selected again, in milliseconds since the Unix epoch. */
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
