package damsonslip.faktory;

import damsonslip.engine.Attempt;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A worker process: its connections, its waiting fetches, and the slots that its jobs use. Confined
 * to the event loop.
 */
final class Worker {
    /** Queue names remembered for one worker, which bounds the memory that a faulty one can use. */
    private static final int MAX_QUEUES = 1_000;

    final String wid;

    /** Its host and process id, which tell a restart apart. */
    final String process;

    final Set<FaktoryConnection> connections = new HashSet<>();
    final ArrayDeque<PendingFetch> pendingFetches = new ArrayDeque<>();

    /** Attempts that the decision module has placed here and that wait for a FETCH. */
    final List<Attempt> placedAttempts = new ArrayList<>();

    WorkerStatus status = WorkerStatus.RUNNING;

    /** When it started, as far as known, in the loop's microseconds. */
    long startedUs;

    /** When it sent its last heartbeat or FETCH, in the loop's microseconds. */
    long lastHeartbeatUs;

    /** Slots of the jobs that it has, or that are about to be handed to it. */
    int slotsInUse;

    /** Its memory by its last heartbeat, in KiB; 0 if it reports none. */
    long rssKb;

    /**
     * The state that an operator requests, sent in the reply to its next heartbeat; empty if none.
     */
    String requestedState = "";

    private final int zone;
    private final int kind;
    private int slots;

    /** The time of its last FETCH from each queue, in the loop's microseconds. */
    private final Map<String, Long> lastFetchUs = new HashMap<>();

    Worker(String wid, String process, int zone, int kind, long startedUs) {
        this.wid = wid;
        this.process = process;
        this.zone = zone;
        this.kind = kind;
        this.startedUs = startedUs;
        this.lastHeartbeatUs = startedUs;
    }

    boolean isRunning() {
        return status == WorkerStatus.RUNNING;
    }

    private int visibleSlots() {
        return pendingFetches.size() + slotsInUse;
    }

    /** Its number of slots, offered and used; a slot between two fetches still counts. */
    private int slots() {
        slots = Math.max(slots, visibleSlots());
        return slots;
    }

    /**
     * Lowers the number of slots by one if it is more than the worker shows now; called
     * periodically.
     */
    void decaySlots() {
        slots = Math.max(visibleSlots(), slots - 1);
    }

    void recordFetch(List<String> queues, long nowUs) {
        lastHeartbeatUs = nowUs; // a FETCH shows that it is alive
        queues.forEach(queue -> lastFetchUs.put(queue, nowUs));
        if (lastFetchUs.size() > MAX_QUEUES) {
            lastFetchUs.values().removeIf(at -> at < nowUs);
        }
    }

    /** Whether it has fetched from this queue since then, or a FETCH from it waits. */
    boolean fetches(String queue, long sinceUs) {
        return lastFetchUs.getOrDefault(queue, Long.MIN_VALUE) >= sinceUs || hasPendingFetch(queue);
    }

    /** Whether a FETCH from this queue waits. */
    boolean hasPendingFetch(String queue) {
        return pendingFetches.stream().anyMatch(fetch -> fetch.accepts(queue));
    }

    /** Removes and returns the first waiting FETCH from this queue; null if there is none. */
    PendingFetch takePendingFetch(String queue) {
        for (PendingFetch fetch : pendingFetches) {
            if (fetch.accepts(queue)) {
                pendingFetches.remove(fetch);
                fetch.cancelTimeout();
                return fetch;
            }
        }
        return null;
    }

    /** Its entry for the decision module's worker list. */
    WorkerEntry entry() {
        return new WorkerEntry(wid, zone, 0, kind, status, startedUs);
    }

    /** Its free slots and the slots in use. */
    LoadReport loadReport() {
        int freeSlots = Math.max(0, pendingFetches.size() - placedAttempts.size());
        return new LoadReport(freeSlots, Double.NaN, slotsInUse);
    }

    /** As {@link #loadReport}, with its number of slots in all, which only a FETCH shows. */
    LoadReport loadReportWithCapacity() {
        LoadReport free = loadReport();
        return LoadReport.fromOfferedSlots(
                free.freeSlots(), free.freeMemory(), free.reservedMemory(), Math.max(1, slots()));
    }
}
