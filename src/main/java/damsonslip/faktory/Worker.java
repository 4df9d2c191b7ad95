package damsonslip.faktory;

import damsonslip.engine.Attempt;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A worker process: its connections, pending fetches and used slots. Confined to the event loop.
 */
final class Worker {
    /** The maximum length of a queue's name; no job can be in one with a longer name. */
    private static final int MAX_QUEUE_NAME_LENGTH = 256;

    final String wid;

    /** Its host and process id, by which a restarted worker is recognized. */
    final String process;

    final Set<FaktoryConnection> connections = new HashSet<>();
    final ArrayDeque<PendingFetch> pendingFetches = new ArrayDeque<>();

    /** Attempts that the scheduling policy has placed on this worker and that wait for a FETCH. */
    final List<Attempt> placedAttempts = new ArrayList<>();

    WorkerStatus status = WorkerStatus.RUNNING;

    /** When it was first seen, in microseconds of the event loop. */
    long startedUs;

    /** When it sent its last heartbeat or FETCH, in microseconds of the event loop. */
    long lastHeartbeatUs;

    /** The slots of the jobs that are handed out to it or about to be. */
    int slotsInUse;

    /** Its memory use according to its last heartbeat, in KiB; 0 if not reported. */
    long rssKb;

    /**
     * The state that an operator requests, sent in the reply to its next heartbeat; empty if none.
     */
    String requestedState = "";

    private final int zone;
    private final int kind;
    private int slots;

    /** The time of its last FETCH from each queue, in microseconds of the event loop. */
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

    /** Returns its number of slots, free and used; a slot between two fetches still counts. */
    private int slots() {
        slots = Math.max(slots, visibleSlots());
        return slots;
    }

    /**
     * Lowers the number of slots by one if it exceeds the slots that are visible now; called
     * periodically.
     */
    void decaySlots() {
        slots = Math.max(visibleSlots(), slots - 1);
    }

    /**
     * Records a FETCH.
     *
     * @param maxQueues how many queues are remembered at most
     */
    void recordFetch(List<String> queues, int maxQueues, long nowUs) {
        lastHeartbeatUs = nowUs; // a FETCH proves that the worker is alive
        queues.stream()
                .filter(queue -> queue.length() <= MAX_QUEUE_NAME_LENGTH)
                .forEach(queue -> lastFetchUs.put(queue, nowUs));
        if (lastFetchUs.size() > maxQueues) {
            lastFetchUs.values().removeIf(at -> at < nowUs);
        }
        Iterator<String> remembered = lastFetchUs.keySet().iterator();
        while (lastFetchUs.size() > maxQueues) {
            remembered.next();
            remembered.remove();
        }
    }

    /** Whether it has fetched from this queue since then, or a FETCH from the queue is pending. */
    boolean fetches(String queue, long sinceUs) {
        return lastFetchUs.getOrDefault(queue, Long.MIN_VALUE) >= sinceUs || hasPendingFetch(queue);
    }

    /** Whether a FETCH from this queue is pending. */
    boolean hasPendingFetch(String queue) {
        return pendingFetches.stream().anyMatch(fetch -> fetch.accepts(queue));
    }

    /** Removes and returns the first pending FETCH from this queue; null if there is none. */
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

    /** Returns its entry in the worker list of the scheduling policy. */
    WorkerEntry entry() {
        return new WorkerEntry(wid, zone, 0, kind, status, startedUs);
    }

    /** Returns the numbers of free and used slots. */
    LoadReport loadReport() {
        int freeSlots = Math.max(0, pendingFetches.size() - placedAttempts.size());
        return new LoadReport(freeSlots, Double.NaN, slotsInUse);
    }

    /**
     * Returns {@link #loadReport} with the total number of slots, which is known only after a
     * FETCH.
     */
    LoadReport loadReportWithCapacity() {
        LoadReport free = loadReport();
        return LoadReport.fromOfferedSlots(
                free.freeSlots(), free.freeMemory(), free.reservedMemory(), Math.max(1, slots()));
    }
}
