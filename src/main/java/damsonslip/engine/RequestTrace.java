package damsonslip.engine;

import damsonslip.engine.EventLog.Kind;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerState;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notes what happens to queries in the {@link EventLog}, and writes a line for each, for reading a
 * fleet's logs together; the lines are off unless the logger named {@code damsonslip.engine.Trace}
 * is set to debug.
 */
final class RequestTrace {
    /** The name by which operators switch the trace on, and that the fleet report looks for. */
    private static final String LOGGER_NAME = "damsonslip.core.Trace";

    private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);
    private final boolean on = LOG.isDebugEnabled();
    private final EventLog events;
    private final EventLoop loop;

    RequestTrace(EventLog events, EventLoop loop) {
        this.events = events;
        this.loop = loop;
    }

    private void note(Kind kind, String id, Object detail, long figure) {
        events.add(loop.now(), kind, id, detail, figure);
    }

    boolean on() {
        return on;
    }

    void settings(Settings s, long nowUs) {
        if (on) {
            LOG.debug(
                    "settings dispatchers={} number={} zone={} atUs={} coldUs={} fallUs={}"
                        + " fallMultiple={}",
                    s.schedulers(),
                    s.schedulerIndex(),
                    s.zone(),
                    nowUs,
                    s.guarantees().slowStartUs(),
                    s.guarantees().overloadWindowUs(),
                    s.guarantees().overloadFactor());
            for (int i = 0; i < s.classes().size(); i++) {
                LOG.debug(
                        "class {} aimUs={} stretch={} worth={}",
                        i,
                        s.classes().get(i).latencyObjectiveUs(),
                        s.classes().get(i).runTimeFactor(),
                        s.classes().get(i).priorityWeight());
            }
        }
    }

    void taken(Request query) {
        note(Kind.TAKEN, query.id(), query.jobClass(), query.deadlineUs());
        if (on) {
            LOG.debug(
                    "taken {} class={} slots={} untilUs={}",
                    query.id(),
                    query.jobClass(),
                    query.slots(),
                    query.deadlineUs());
        }
    }

    void sent(Attempt execution) {
        note(Kind.SENT, execution.query().id(), execution.worker(), execution.number());
        if (on) {
            LOG.debug(
                    "sent {} n={} to={}",
                    execution.query().id(),
                    execution.number(),
                    execution.worker());
        }
    }

    void started(Attempt execution) {
        note(Kind.STARTED, execution.query().id(), execution.worker(), execution.number());
        if (on) {
            LOG.debug(
                    "started {} n={} to={}",
                    execution.query().id(),
                    execution.number(),
                    execution.worker());
        }
    }

    void ended(Attempt execution, AttemptOutcome outcome) {
        note(Kind.ENDED, execution.query().id(), outcome, execution.number());
        if (on) {
            LOG.debug(
                    "ended {} n={} to={} as={}",
                    execution.query().id(),
                    execution.number(),
                    execution.worker(),
                    outcome);
        }
    }

    void answered(Request query, Response answer) {
        note(Kind.ANSWERED, query.id(), answer.kind(), answer.retryAfterUs());
        if (on) {
            LOG.debug(
                    "answered {} as={} retryUs={}",
                    query.id(),
                    answer.kind(),
                    answer.retryAfterUs());
        }
    }

    void listed(WorkerListChange mode, List<WorkerEntry> list) {
        note(mode.isFailure() ? Kind.LIST_LOST : Kind.LISTED, "", mode, list.size());
        for (WorkerEntry w : list) {
            if (w.status() != WorkerStatus.RUNNING) {
                note(Kind.DRAIN_TOLD, w.id(), w.status(), 0);
            }
        }
        if (on) {
            LOG.debug("listed {} entries={}", mode, list.size());
            for (WorkerEntry w : list) {
                LOG.debug(
                        "worker {} zone={} kind={} is={} startedUs={}",
                        w.id(),
                        w.zone(),
                        w.kind(),
                        w.status(),
                        w.status() == WorkerStatus.RUNNING && w.startedUs() > 0
                                ? w.startedUs()
                                : 0);
            }
        }
    }

    void asked() {
        if (on) {
            LOG.debug("asked for the list");
        }
    }

    /**
     * How things stand, told once a second: counts since the start, and each pool with its members.
     */
    void stands(Counters counters, List<PoolState> pools, List<WorkerState> workers) {
        LOG.debug("{}", counters);
        for (PoolState pool : pools) {
            String members =
                    workers.stream()
                            .filter(w -> w.pool() == pool.jobClass())
                            .map(WorkerState::id)
                            .collect(Collectors.joining(","));
            LOG.debug(
                    "pool {} rate={} ms={} share={} free={} has={}",
                    pool.jobClass(),
                    (int) pool.arrivalRate(),
                    (int) (pool.meanRunTimeUs() / 1000),
                    pool.admissionShare(),
                    (int) (100 * pool.freeShare()),
                    members);
        }
        workers.stream()
                .filter(w -> w.running() && w.warmingUp())
                .forEach(w -> LOG.debug("cold {} partUs={}", w.id(), (long) w.slowStartBudgetUs()));
    }

    void probed(String worker, ProbeResult result) {
        if (on) {
            LOG.debug("probed {} as={}", worker, result);
        }
    }
}
