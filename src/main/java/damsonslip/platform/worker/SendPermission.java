package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.discovery.WorkerRegistry;

/**
 * Decides whether a worker may be sent requests at this moment. Checked right before a send, since
 * the worker may have begun to drain, or may have been disabled by an operator, while its
 * connection was being established.
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

    /**
     * Whether jobs may be sent; also requires a valid lease, by the endpoint list or by health
     * checks.
     */
    boolean maySend(String worker) {
        return engine.isUsable(worker) && mayProbe(worker);
    }

    /**
     * Whether the worker may be probed; needs no lease, since a probe renews what is known of it.
     */
    boolean mayProbe(String worker) {
        return registry.maySend(worker, loop.nowUs()) && !engine.isDisabled(worker);
    }
}
