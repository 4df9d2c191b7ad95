package damsonslip.policy;

import damsonslip.policy.api.LoadReport;
import java.util.stream.Stream;

/** Estimates the slots of workers, by kind unless the worker states them itself. */
final class SlotEstimates {
    private final SlotEstimator[] byKind;

    SlotEstimates(int kinds) {
        this.byKind =
                Stream.generate(SlotEstimator::new).limit(kinds).toArray(SlotEstimator[]::new);
    }

    /** Learns from a load report of this worker. */
    void observe(Worker worker, LoadReport report) {
        WorkerLoad load = worker.load();
        load.stateTotalSlots(report.totalSlots());
        double slots =
                load.statesTotalSlots() ? load.statedTotalSlots() : Math.max(0, report.freeSlots());
        byKind[worker.kind()].observe(slots);
    }

    /** Slots of a worker: what it states, or else the estimate for its kind. */
    double slotsOf(Worker worker) {
        WorkerLoad load = worker.load();
        return load.statesTotalSlots() ? load.statedTotalSlots() : byKind[worker.kind()].slots();
    }

    /**
     * Slots of a worker as far as reports show them, without the default: the slow-start budget
     * must not rest on an assumption.
     */
    double provenSlotsOf(Worker worker) {
        WorkerLoad load = worker.load();
        return load.statesTotalSlots()
                ? load.statedTotalSlots()
                : byKind[worker.kind()].provenSlots();
    }

    /** Estimated slots of a worker of this kind that does not state them. */
    int slotsOfKind(int kind) {
        return byKind[kind].slots();
    }

    /** Number of kinds. */
    int kinds() {
        return byKind.length;
    }

    /** The estimates by kind, for display. */
    int[] toArray() {
        int[] slots = new int[byKind.length];
        for (int kind = 0; kind < slots.length; kind++) {
            slots[kind] = byKind[kind].slots();
        }
        return slots;
    }
}
