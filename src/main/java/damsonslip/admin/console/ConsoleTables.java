package damsonslip.admin.console;

import damsonslip.admin.operations.Metric;
import damsonslip.admin.operations.Operations;
import damsonslip.engine.Counters;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.LoopLatency;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.Invariant;
import damsonslip.engine.invariants.InvariantMonitor;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.WorkerState;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** Formats the scheduler's state as tables for the console. Used on the event loop only. */
final class ConsoleTables {
    private static final int MAX_EVENTS = 100;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

    private final EventLoop loop;
    private final Counters counters;
    private final Frontend front;
    private final Operations operations;

    ConsoleTables(EventLoop loop, Counters counters, Frontend front, Operations operations) {
        this.loop = loop;
        this.counters = counters;
        this.front = front;
        this.operations = operations;
    }

    String workers() {
        StringBuilder text =
                row(
                        "%-24s %-9s %5s %5s %6s %6s %s",
                        "worker", "state", "zone", "kind", "out", "free", "pool");
        for (WorkerState worker : front.engine().workerStates()) {
            text.append(
                    row(
                            "%-24s %-9s %5d %5d %6d %6.1f %s",
                            worker.id(),
                            state(worker),
                            worker.zone(),
                            worker.kind(),
                            worker.outstanding(),
                            worker.freeSlots(),
                            worker.pool() < 0 ? "-" : front.jobClassName(worker.pool())));
        }
        return text.toString();
    }

    private static String state(WorkerState worker) {
        if (!worker.running()) {
            return "stopped";
        }
        if (worker.paused()) {
            return "paused";
        }
        return worker.warmingUp() ? "cold" : "running";
    }

    String pools() {
        StringBuilder text =
                row(
                        "%-16s %7s %6s %8s %8s %6s",
                        "pool", "workers", "slots", "jobs/s", "ms/job", "free%");
        for (PoolState pool : front.engine().poolStates()) {
            text.append(
                    row(
                            "%-16s %7d %6.0f %8.1f %8.0f %6.0f",
                            front.jobClassName(pool.jobClass()),
                            pool.workers(),
                            pool.slots(),
                            pool.arrivalRate(),
                            pool.meanRunTimeUs() / MICROS_PER_MILLI,
                            100 * pool.freeShare()));
        }
        return text.toString();
    }

    String queues() {
        StringBuilder text = row("%-16s %7s %7s %9s", "class", "present", "held", "threshold");
        for (PoolState pool : front.engine().poolStates()) {
            text.append(
                    row(
                            "%-16s %7d %7d %9d",
                            front.jobClassName(pool.jobClass()),
                            pool.present(),
                            pool.queued(),
                            pool.admissionShare()));
        }
        return text.toString();
    }

    String metrics() {
        StringBuilder text = new StringBuilder();
        for (Metric metric : operations.metrics()) {
            text.append(row("%-26s %10d", metric.name(), metric.value()));
        }
        return text.toString();
    }

    String latency() {
        LoopLatency latency = loop.latency();
        return row("%-10s %9s %9s %9s %9s", "tasks", "50% ms", "99% ms", "99.9% ms", "most ms")
                .append(
                        row(
                                "%-10d %9.2f %9.2f %9.2f %9.2f",
                                latency.count(),
                                latency.percentileUs(50) / MICROS_PER_MILLI,
                                latency.percentileUs(99) / MICROS_PER_MILLI,
                                latency.percentileUs(99.9) / MICROS_PER_MILLI,
                                latency.maxUs() / MICROS_PER_MILLI))
                .toString();
    }

    String slowPeers(Stream<SlowPeer> consoles) {
        StringBuilder text =
                row(
                        "%-22s %-16s %9s %9s %6s",
                        "peer", "what it does", "bytes", "bytes/s", "left s");
        for (SlowPeer slowPeer :
                SlowPeer.disconnectedSoonest(Stream.concat(front.slowPeers().stream(), consoles))) {
            text.append(
                    row(
                            "%-22s %-16s %9d %9.0f %6.1f",
                            slowPeer.peer(),
                            slowPeer.activity(),
                            slowPeer.pendingBytes(),
                            slowPeer.bytesPerSecond(),
                            slowPeer.remainingUs() / MICROS_PER_SECOND));
        }
        return text.toString();
    }

    String counters() {
        StringBuilder text = new StringBuilder();
        counters.forEachNonZero((name, count) -> text.append(row("%-26s %10d", name, count)));
        return text.length() == 0 ? "nothing yet" : text.toString();
    }

    String events(String id) {
        List<String> newest = front.engine().eventLog().newest(MAX_EVENTS, id);
        return newest.isEmpty() ? "nothing yet" : String.join("\n", newest);
    }

    String invariants() {
        InvariantMonitor monitor = front.engine().invariantMonitor();
        StringBuilder text = row("%-42s %9s", "rule", "violated");
        for (Invariant invariant : Invariant.values()) {
            text.append(
                    row(
                            "%-42s %9d",
                            invariant.name().toLowerCase(Locale.ROOT), monitor.count(invariant)));
        }
        return text.toString();
    }

    private static StringBuilder row(String format, Object... values) {
        return new StringBuilder(String.format(Locale.ROOT, format, values).stripTrailing())
                .append('\n');
    }
}
