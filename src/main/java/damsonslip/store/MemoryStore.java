package damsonslip.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A store for trying the program out: it ends with the process. */
public final class MemoryStore implements JobStore {
    /** Ended jobs are remembered up to this many in all. */
    private static final int MOST = 20_000;

    private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
    private final Map<String, Long> workers = new LinkedHashMap<>();

    @Override
    public synchronized JobRecord add(JobRecord record) {
        JobRecord before = jobs.putIfAbsent(record.id(), record);
        if (jobs.size() > MOST) {
            jobs.values().stream().filter(old -> old.state().isFinal()).findFirst()
                .ifPresent(old -> jobs.remove(old.id()));
        }
        return before;
    }

    @Override
    public synchronized void put(JobRecord record) {
        jobs.put(record.id(), record);
    }

    @Override
    public synchronized JobRecord get(String id) {
        return jobs.get(id);
    }

    @Override
    public synchronized List<JobRecord> unresolved() {
        return new ArrayList<>(jobs.values().stream().filter(job -> !job.state().isFinal()).toList());
    }

    @Override
    public synchronized long firstSeen(String worker, long nowMs) {
        Long before = workers.putIfAbsent(worker, nowMs);
        return before == null ? nowMs : before;
    }

    @Override
    public void close() { }
}
