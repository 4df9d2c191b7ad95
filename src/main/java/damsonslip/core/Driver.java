package damsonslip.core;

import damsonslip.Dispatch.Action;
import damsonslip.Dispatch.AttemptEnded;
import damsonslip.Dispatch.AttemptStarted;
import damsonslip.Dispatch.Cancel;
import damsonslip.Dispatch.Event;
import damsonslip.Dispatch.Fail;
import damsonslip.Dispatch.JobArrived;
import damsonslip.Dispatch.JobGone;
import damsonslip.Dispatch.ListMode;
import damsonslip.Dispatch.ListUpdate;
import damsonslip.Dispatch.Log;
import damsonslip.Dispatch.Outcome;
import damsonslip.Dispatch.PoolState;
import damsonslip.Dispatch.Probe;
import damsonslip.Dispatch.ProbeEnded;
import damsonslip.Dispatch.Refuse;
import damsonslip.Dispatch.Report;
import damsonslip.Dispatch.Send;
import damsonslip.Dispatch.SetTimer;
import damsonslip.Dispatch.Settings;
import damsonslip.Dispatch.Status;
import damsonslip.Dispatch.TimerDue;
import damsonslip.Dispatch.WatchList;
import damsonslip.Dispatch.Worker;
import damsonslip.Dispatch.WorkerState;
import damsonslip.Rules;
import damsonslip.core.Counters.Count;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the decisions what happens and carries out what they say. Every method is called on the {@link Loop}.
 */
public final class Driver {
    private static final Logger LOG = LoggerFactory.getLogger(Driver.class);
    /** No more queries than this are held at once; what comes beyond is throttled before the module sees it. */
    public static final int MOST_OPEN = 2_000;

    private final Loop loop;
    private final Counters counters;
    private final Rules rules;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final Map<String, Worker> listed = new HashMap<>();
    /** Workers that an operator keeps new jobs from, with the start that this holds for. */
    private final Map<String, Long> drained = new HashMap<>();
    private final ArrayDeque<Event> waiting = new ArrayDeque<>();
    private WorkerSide workers;
    private boolean handling;
    private int open;

    public Driver(Settings settings, long seed, Loop loop, Counters counters) {
        this.loop = loop;
        this.counters = counters;
        this.rules = new Rules(settings, seed);
    }

    /** Begins with the list of workers that was kept; before anything else is told. */
    public void begin(WorkerSide side, List<Worker> kept) {
        workers = side;
        tell(new ListUpdate(ListMode.KEPT, withDrains(kept)));
    }

    // ---- for operators

    public List<PoolState> pools() {
        return rules.pools();
    }

    public List<WorkerState> workers() {
        return rules.workers(loop.now());
    }

    /** Keeps new jobs from a worker until it starts anew; gives false if no list has named it. */
    public boolean drain(String id) {
        Worker worker = listed.get(id);
        if (worker == null) {
            return false;
        }
        drained.put(id, worker.startedUs());
        workers.drain(id);
        listed(ListMode.CHANGES, List.of(worker));
        return true;
    }

    /** Guards an operator's drain against lists that know nothing of it. */
    private List<Worker> withDrains(List<Worker> list) {
        list.forEach(worker -> listed.put(worker.id(), worker));
        return list.stream().map(worker -> {
            Long drainedStart = drained.get(worker.id());
            if (drainedStart == null || worker.status() != Status.RUNNING) {
                return worker;
            }
            if (drainedStart != worker.startedUs()) {
                drained.remove(worker.id());
                return worker;
            }
            return new Worker(worker.id(), worker.zone(), worker.cell(), worker.kind(), Status.DRAINING,
                worker.startedUs());
        }).toList();
    }

    /** Queries that still lack their final answer. */
    public int open() {
        return open;
    }

    /** Whether an id belongs to a query that is still held. */
    public boolean holds(String id) {
        return exchanges.containsKey(id);
    }

    // ---- the client side

    /** Takes a query in, whose id {@link #holds} must not know. */
    public Exchange take(Query query, Asker asker) {
        counters.add(Count.QUERIES_TAKEN);
        Exchange exchange = new Exchange(query, answer -> {
            open--;
            counters.add(switch (answer.kind()) {
                case SERVED -> Count.ANSWERS_SERVED;
                case THROTTLED -> Count.ANSWERS_THROTTLED;
                case FAILED -> Count.ANSWERS_FAILED;
            });
            asker.answer(answer);
        });
        open++;
        if (open > MOST_OPEN) {
            exchange.finish(Answer.throttled(0)); // the module was not asked, so there is no figure to give
            return exchange;
        }
        exchanges.put(query.id(), exchange);
        tell(new JobArrived(query.id(), query.jobClass(), 0, query.subject(), query.deadlineUs(), query.slots(),
            query.memory(), query.mostRuns(), query.fits()));
        return exchange;
    }

    /** The client has gone. */
    public void gone(Exchange exchange) {
        if (exchange.abandon()) {
            open--;
            counters.add(Count.QUERIES_GONE);
            tell(new JobGone(exchange.query().id()));
            forget(exchange);
        }
    }

    /** No query can be waited for any longer: whatever is open gets its final answer, as at its deadline. */
    public void answerAll() {
        exchanges.values().stream().filter(exchange -> !exchange.closed()).map(exchange -> exchange.query().id())
            .toList().forEach(id -> tell(new TimerDue(Rules.lastLabel(id))));
    }

    // ---- the server side

    public void started(Execution execution) {
        if (execution.open) {
            tell(new AttemptStarted(execution.query().id(), execution.number));
        }
    }

    /** An execution has ended; only the first end counts. */
    public void ended(Execution execution, Execution.End end) {
        if (!execution.open) {
            return;
        }
        execution.open = false;
        execution.timeout.cancel();
        Exchange exchange = execution.exchange;
        exchange.outstanding--;
        counters.add(switch (end.outcome()) {
            case SERVED -> Count.EXECUTIONS_SERVED;
            case ERROR -> Count.EXECUTIONS_ERROR;
            case FULL -> Count.EXECUTIONS_FULL;
            case TIMED_OUT -> Count.EXECUTIONS_TIMED_OUT;
            case NOT_CONNECTED -> Count.EXECUTIONS_NOT_CONNECTED;
            case RESET -> Count.EXECUTIONS_RESET;
            case CANCELLED -> Count.EXECUTIONS_CANCELLED;
            case NEVER_SENT -> Count.EXECUTIONS_NEVER_SENT;
        });
        if (end.outcome() == Outcome.SERVED) {
            exchange.finish(Answer.served(end.result()));
        }
        tell(new AttemptEnded(execution.query().id(), execution.number, end.outcome(), exchange.closed(),
            end.report()));
        forget(exchange);
    }

    public void listed(ListMode mode, List<Worker> list) {
        counters.add(mode == ListMode.FAILED ? Count.LIST_FAILURES : Count.LIST_UPDATES);
        tell(new ListUpdate(mode, withDrains(list)));
    }

    public void probed(String worker, boolean ok, Report report) {
        tell(new ProbeEnded(worker, ok, report));
    }

    // ---- decisions

    /**
     * Hands events to the module one by one. Carrying out an action may lead to a further event at once, which
     * has to wait until the actions of the one at hand are done.
     */
    private void tell(Event event) {
        waiting.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            List<Action> actions = new ArrayList<>();
            for (Event next = waiting.poll(); next != null; next = waiting.poll()) {
                actions.clear();
                rules.handle(loop.now(), next, actions);
                for (Action action : actions) {
                    carryOut(action);
                }
            }
        } finally {
            handling = false;
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof Cancel cancel) {
            cancel(exchanges.get(cancel.job()), cancel.attempt());
        } else if (action instanceof Refuse refuse) {
            finish(refuse.job(), Answer.throttled(refuse.retryAfterUs()));
        } else if (action instanceof Fail fail) {
            Exchange exchange = exchanges.get(fail.job());
            finish(fail.job(), Answer.failed(exchange != null && late(exchange)));
        } else if (action instanceof Probe probe) {
            counters.add(Count.PROBES_SENT);
            workers.probe(probe.worker());
        } else if (action instanceof SetTimer timer) {
            loop.at(timer.atUs(), () -> tell(new TimerDue(timer.label())));
        } else if (action instanceof WatchList) {
            workers.watch();
        } else if (action instanceof Log log) {
            LOG.info(log.text());
        }
    }

    private boolean late(Exchange exchange) {
        return loop.now() + 50_000 > exchange.query().deadlineUs();
    }

    private void send(Send send) {
        Exchange exchange = exchanges.get(send.job());
        if (exchange == null) { // closed while the module decided: it is still owed an end
            tell(new AttemptEnded(send.job(), 0, Outcome.NEVER_SENT, true, null));
            return;
        }
        counters.add(Count.EXECUTIONS_SENT);
        long now = loop.now();
        long deadline = exchange.query().deadlineUs();
        long endsBy = send.timeoutUs() > 0 ? Math.min(deadline, now + send.timeoutUs()) : deadline;
        Execution execution = new Execution(exchange, exchange.executions.size(), send.worker(), now, endsBy);
        exchange.executions.add(execution);
        exchange.outstanding++;
        execution.timeout = loop.at(endsBy, () -> stop(execution, Outcome.TIMED_OUT));
        if (exchange.closed()) {
            ended(execution, Execution.End.of(Outcome.NEVER_SENT));
        } else {
            workers.start(execution);
        }
    }

    private void cancel(Exchange exchange, int number) {
        if (exchange != null && number < exchange.executions.size()) {
            stop(exchange.executions.get(number), Outcome.CANCELLED);
        }
    }

    private void stop(Execution execution, Outcome outcome) {
        if (execution.open) {
            workers.cancel(execution);
            ended(execution, Execution.End.of(outcome));
        }
    }

    private void finish(String id, Answer answer) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            exchange.finish(answer);
            forget(exchange);
        }
    }

    private void forget(Exchange exchange) {
        if (exchange.closed() && exchange.outstanding == 0) {
            exchanges.remove(exchange.query().id());
        }
    }
}
