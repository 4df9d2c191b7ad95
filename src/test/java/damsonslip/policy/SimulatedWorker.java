package damsonslip.policy;

import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A worker that accepts all work, never slows down and records the work that it receives. */
final class SimulatedWorker {
    final String id;
    private final int slots;
    long started;
    boolean up = true;
    boolean reportsFull;

    /** The work received, by start time of the worker. */
    final TreeMap<Long, List<Load>> loads = new TreeMap<>();

    SimulatedWorker(String id, int slots, long started) {
        this.id = id;
        this.slots = slots;
        this.started = started;
    }

    /** Records work that arrives at the given time. */
    void receive(double work, boolean senderKnewStart, long now) {
        loads.computeIfAbsent(started, unused -> new ArrayList<>())
                .add(new Load(now, work, senderKnewStart));
    }

    /** Returns its load report. */
    LoadReport report() {
        return new LoadReport(reportsFull ? 0 : slots, Double.NaN, Double.NaN);
    }

    WorkerEntry entry() {
        return new WorkerEntry(id, 0, 0, 0, WorkerStatus.RUNNING, started);
    }

    /** Work that the worker received, and whether the sender knew of the worker's last start. */
    record Load(long at, double work, boolean senderKnewStart) {}
}
