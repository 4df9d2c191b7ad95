package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import java.util.HashMap;
import java.util.Map;

/** Counts the open jobs of each batch. Not thread-safe. */
final class BatchCounters {
    /** The number of open jobs in a batch, and how many of them have never failed. */
    static final class Counts {
        private int open;
        private int neverFailed;

        int open() {
            return open;
        }

        int neverFailed() {
            return neverFailed;
        }
    }

    private final Map<String, Counts> byBatch = new HashMap<>();

    Counts of(String batchId) {
        return byBatch.getOrDefault(batchId, new Counts());
    }

    /** Counts a job that enters the table (sign 1) or leaves it (sign -1). */
    void count(JobRecord record, int sign) {
        String batchId = record.options().batchId();
        if (batchId.isEmpty()) {
            return;
        }
        boolean neverFailed = record.failure() == null && record.state() != JobRecord.State.DEAD;
        Counts counts = byBatch.computeIfAbsent(batchId, id -> new Counts());
        counts.open += sign;
        counts.neverFailed += neverFailed ? sign : 0;
        if (counts.open == 0) {
            byBatch.remove(batchId);
        }
    }
}
