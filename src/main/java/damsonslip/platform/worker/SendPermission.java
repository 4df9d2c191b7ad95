package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.discovery.WorkerRegistry;

/**
 * Whether a worker may be sent to at this moment. Checked right before a send, since the worker may
 * have begun to drain, or may have been barred by an operator, while its connection came up.
 */
final class SendPermission {
    private final WorkerRegistry registry;
    private final SchedulerEngine engine;
    private final EventLoop loop;

    SendPermission(WorkerRegistry registry, SchedulerEngine engine, EventLoop loop) {
        this.registry = registry;
        this.engine = engine;
        this.loop = loop;
    }

    /** Whether jobs may be sent: requires a valid lease on the list as well. */
    boolean maySend(String worker) {
        return engine.isUsable(worker) && mayProbe(worker);
    }

    /** Whether it may be probed; a probe renews what is known of a worker, so needs no lease. */
    boolean mayProbe(String worker) {
        return registry.maySend(worker, loop.nowUs()) && !engine.isDisabled(worker);
    }
}
