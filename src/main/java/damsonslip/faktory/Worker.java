package damsonslip.faktory;

import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
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
    /** A FETCH that waits for a job. */
    record WaitingFetchRequest(
            FaktoryConnection link, List<String> queues, EventLoop.Timer timeout, long sinceUs) {}

    /** Queue names remembered for one worker, which bounds the memory that a faulty one can use. */
    private static final int MAX_QUEUES = 1_000;

    final String wid;
    final String process;
    final int zone;
    final int kind;
    final Set<FaktoryConnection> connections = new HashSet<>();
    final ArrayDeque<WaitingFetchRequest> waitingFetches = new ArrayDeque<>();

    /** Attempts that the decision module has placed here and that wait for a FETCH. */
    final List<Attempt> placedAttempts = new ArrayList<>();

    WorkerStatus status = WorkerStatus.RUNNING;
    long startedUs;
    long lastHeartbeatUs;

    /** Slots of the jobs that it has, or that are about to be handed to it. */
    int slotsInUse;

    private int slots;

    /** Its memory by its last heartbeat, in KiB; 0 if it reports none. */
    long rssKb;

    /** The time of its last FETCH from each queue, in the loop's microseconds. */
    private final Map<String, Long> lastFetchUs = new HashMap<>();

    /**
     * The state that an operator requests, sent in the reply to its next heartbeat; empty if none.
     */
    String requestedState = "";

    Worker(String wid, String process, int zone, int kind, long startedUs) {
        this.wid = wid;
        this.process = process;
        this.zone = zone;
        this.kind = kind;
        this.startedUs = startedUs;
    }

    boolean isRunning() {
        return status == WorkerStatus.RUNNING;
    }

    /** Its number of slots, offered and used; a slot between two fetches still counts. */
    int slots() {
        slots = Math.max(slots, waitingFetches.size() + slotsInUse);
        return slots;
    }

    /**
     * Lowers the number of slots by one if it is more than the worker shows now; called
     * periodically.
     */
    void decaySlots() {
        slots = Math.max(waitingFetches.size() + slotsInUse, slots - 1);
    }

    void recordFetch(List<String> queues, long nowUs) {
        queues.forEach(queue -> lastFetchUs.put(queue, nowUs));
        if (lastFetchUs.size() > MAX_QUEUES) {
            lastFetchUs.values().removeIf(at -> at < nowUs);
        }
    }

    /** Whether it has fetched from this queue since then, or a FETCH from it waits. */
    boolean fetches(String queue, long sinceUs) {
        return lastFetchUs.getOrDefault(queue, Long.MIN_VALUE) >= sinceUs || waitingFetches(queue);
    }

    /** Whether a FETCH from this queue waits. */
    boolean waitingFetches(String queue) {
        for (WaitingFetchRequest offer : waitingFetches) {
            if (offer.queues().contains(queue) && !offer.link().isClosed()) {
                return true;
            }
        }
        return false;
    }

    /** Removes and returns the first waiting FETCH from this queue; null if there is none. */
    WaitingFetchRequest takeWaitingFetch(String queue) {
        for (WaitingFetchRequest offer : waitingFetches) {
            if (offer.queues().contains(queue) && !offer.link().isClosed()) {
                waitingFetches.remove(offer);
                offer.timeout().cancel();
                return offer;
            }
        }
        return null;
    }

    /** Its entry for the decision module's worker list. */
    WorkerEntry entry() {
        return new WorkerEntry(wid, zone, 0, kind, status, startedUs);
    }
}
