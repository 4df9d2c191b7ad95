package damsonslip.policy;

import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A worker that runs whatever comes and never slows down, and records the work it was sent. */
final class SimulatedWorker {
    final String id;
    private final int slots;
    long started;
    boolean up = true;
    boolean reportsFull;

    /** The work received, by start. */
    final TreeMap<Long, List<Load>> loads = new TreeMap<>();

    SimulatedWorker(String id, int slots, long started) {
        this.id = id;
        this.slots = slots;
        this.started = started;
    }

    /** Records work that arrives now. */
    void receive(double work, boolean senderKnewStart, long now) {
        loads.computeIfAbsent(started, unused -> new ArrayList<>())
                .add(new Load(now, work, senderKnewStart));
    }

    /** Its load report. */
    LoadReport report() {
        return new LoadReport(reportsFull ? 0 : slots, Double.NaN, Double.NaN);
    }

    WorkerEntry entry() {
        return new WorkerEntry(id, 0, 0, 0, WorkerStatus.RUNNING, started);
    }

    /** Work that reached the worker, and whether its sender knew of the worker's start. */
    record Load(long at, double work, boolean senderKnewStart) {}
}
