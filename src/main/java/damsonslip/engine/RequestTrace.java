package damsonslip.engine;

import damsonslip.engine.EventLog.Kind;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records what happens to requests and to the worker list in the {@link EventLog}, and writes a
 * line for each to the trace log if its logger is set to debug. {@code
 * damsonslip.tools.fleetreport} parses these lines to merge the logs of a fleet, so their format
 * must not change.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class RequestTrace {
    /** Name of the logger by which operators enable the trace; must not change with class names. */
    static final String LOGGER_NAME = "damsonslip.core.Trace";

    private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

    private final boolean isEnabled = LOG.isDebugEnabled();
    private final EventLog events;
    private final EventLoop loop;

    RequestTrace(EventLog events, EventLoop loop) {
        this.events = events;
        this.loop = loop;
    }

    private void record(Kind kind, String id, Object detail, long figure) {
        events.add(loop.nowUs(), kind, id, detail, figure);
    }

    void accepted(Request request) {
        record(Kind.TAKEN, request.id(), request.jobClass(), request.deadlineUs());
        if (isEnabled) {
            LOG.debug(
                    "taken {} class={} slots={} untilUs={}",
                    request.id(),
                    request.jobClass(),
                    request.slots(),
                    request.deadlineUs());
        }
    }

    void clientDisconnected(Request request) {
        record(Kind.DEPARTED, request.id(), "", 0);
    }

    void answered(Request request, Response response) {
        record(Kind.ANSWERED, request.id(), response.kind(), response.retryAfterUs());
        if (isEnabled) {
            LOG.debug(
                    "answered {} as={} retryUs={}",
                    request.id(),
                    response.kind(),
                    response.retryAfterUs());
        }
    }

    void sent(Attempt attempt) {
        record(Kind.SENT, attempt.request().id(), attempt.worker(), attempt.number());
        if (isEnabled) {
            LOG.debug(
                    "sent {} n={} to={}",
                    attempt.request().id(),
                    attempt.number(),
                    attempt.worker());
        }
    }

    void started(Attempt attempt) {
        record(Kind.STARTED, attempt.request().id(), attempt.worker(), attempt.number());
        if (isEnabled) {
            LOG.debug(
                    "started {} n={} to={}",
                    attempt.request().id(),
                    attempt.number(),
                    attempt.worker());
        }
    }

    void ended(Attempt attempt, AttemptOutcome outcome) {
        record(Kind.ENDED, attempt.request().id(), outcome, attempt.number());
        if (isEnabled) {
            LOG.debug(
                    "ended {} n={} to={} as={}",
                    attempt.request().id(),
                    attempt.number(),
                    attempt.worker(),
                    outcome);
        }
    }

    void probed(String worker, ProbeResult result) {
        if (isEnabled) {
            LOG.debug("probed {} as={}", worker, result);
        }
    }

    void workerListRequested() {
        if (isEnabled) {
            LOG.debug("asked for the list");
        }
    }

    void discoveryAddressChanged(DiscoveryAddressState state) {
        record(Kind.LISTED, "", TraceTexts.of(state), 0);
    }

    void workerListChanged(WorkerListChange change, List<WorkerEntry> workers) {
        Kind kind = change.isFailure() ? Kind.LIST_LOST : Kind.LISTED;
        record(kind, "", TraceTexts.of(change), workers.size());
        for (WorkerEntry worker : workers) {
            if (worker.status() != WorkerStatus.RUNNING) {
                record(Kind.DRAIN_TOLD, worker.id(), TraceTexts.of(worker.status()), 0);
            }
        }
        if (isEnabled) {
            LOG.debug("listed {} entries={}", TraceTexts.of(change), workers.size());
            workers.forEach(RequestTrace::writeWorker);
        }
    }

    private static void writeWorker(WorkerEntry worker) {
        boolean hasStartTime = worker.status() == WorkerStatus.RUNNING && worker.startedUs() > 0;
        LOG.debug(
                "worker {} zone={} kind={} is={} startedUs={}",
                worker.id(),
                worker.zone(),
                worker.kind(),
                TraceTexts.of(worker.status()),
                hasStartTime ? worker.startedUs() : 0);
    }
}
