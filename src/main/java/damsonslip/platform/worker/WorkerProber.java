package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.ProbeResult;
import damsonslip.transport.ConnectFailure;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Probes workers for their health and their load. */
final class WorkerProber {
    private final SchedulerEngine engine;
    private final EventLoop loop;
    private final WorkerRegistry registry;
    private final SendPermission permission;
    private final ConnectionPool pool;
    private final WorkerConnector connector;
    private final long timeoutUs;

    /**
     * @param timeoutUs the time within which a worker has to respond to a probe
     */
    WorkerProber(
            SchedulerEngine engine,
            EventLoop loop,
            WorkerRegistry registry,
            SendPermission permission,
            ConnectionPool pool,
            WorkerConnector connector,
            long timeoutUs) {
        this.engine = engine;
        this.loop = loop;
        this.registry = registry;
        this.permission = permission;
        this.pool = pool;
        this.connector = connector;
        this.timeoutUs = timeoutUs;
    }

    /**
     * Probes a worker over any connection, and reports the result to the engine. If no probe is
     * sent, that is reported after this call has returned.
     */
    void probe(String worker) {
        InetSocketAddress address = registry.address(worker);
        if (address == null || !permission.mayProbe(worker)) {
            reportLater(worker, ProbeResult.NOT_SENT);
            return;
        }
        WorkerConnection idle = pool.takeIdle(worker, Idempotency.IDEMPOTENT);
        if (idle != null) {
            probeOver(idle);
        } else if (connector.reserveDescriptor()) {
            connector.connect(
                    worker,
                    address,
                    () -> false, // the first to be abandoned if descriptors run short
                    this::probeOver,
                    failure -> engine.probeEnded(worker, resultOf(failure), null));
        } else {
            reportLater(worker, ProbeResult.NOT_SENT);
        }
    }

    /**
     * Probes a worker over an idle connection that was opened by the given time, if there is one.
     */
    void probeOverConnectionOpenedBy(String worker, long openedByUs) {
        if (registry.address(worker) == null || !permission.mayProbe(worker)) {
            reportLater(worker, ProbeResult.NOT_SENT);
            return;
        }
        Optional<WorkerConnection> lasting = pool.takeIdleOpenedBy(worker, openedByUs);
        if (lasting.isPresent()) {
            lasting.get().sendProbe(timeoutUs, ProbeResult.HEALTHY_THROUGHOUT);
            return;
        }
        boolean busy = pool.hasConnectionOpenedBy(worker, openedByUs);
        reportLater(worker, busy ? ProbeResult.NOT_SENT : ProbeResult.NO_LASTING_CONNECTION);
    }

    /**
     * Sends the probe, unless the worker has begun to drain while the connection was being
     * established.
     */
    private void probeOver(WorkerConnection connection) {
        String worker = connection.worker();
        if (permission.mayProbe(worker)) {
            connection.sendProbe(timeoutUs, ProbeResult.HEALTHY);
        } else {
            pool.release(connection);
            engine.probeEnded(worker, ProbeResult.NOT_SENT, null);
        }
    }

    private static ProbeResult resultOf(ConnectFailure failure) {
        return failure == ConnectFailure.LOCAL ? ProbeResult.NOT_SENT : ProbeResult.UNREACHABLE;
    }

    private void reportLater(String worker, ProbeResult result) {
        loop.execute(() -> engine.probeEnded(worker, result, null));
    }
}
