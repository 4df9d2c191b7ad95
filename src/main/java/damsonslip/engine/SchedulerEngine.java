package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.invariants.CloseGuard;
import damsonslip.engine.invariants.InvariantMonitor;
import damsonslip.engine.invariants.RetryGuard;
import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.engine.invariants.SendGuard;
import damsonslip.engine.invariants.Violation;
import damsonslip.membership.overrides.WorkerOverrides;
import damsonslip.membership.peers.PeerProcesses;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.ConnectionLost;
import damsonslip.policy.api.DiscoveryAddressChanged;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.Log;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.SlowStartLoad;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the decisions what happens and carries out what they say. Every method is called on the
 * {@link EventLoop}.
 */
public final class SchedulerEngine {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulerEngine.class);

    /**
     * No more queries than this are held at once; what comes beyond is throttled before the module
     * sees it.
     */
    public static final int MOST_OPEN = 2_000;

    /** A repeat is begun this much before its window ends: it counts when it has arrived whole. */
    private static final long ARRIVES_US = 20_000;

    /** A trace tells how things stand this often: the seconds that a fleet's logs are summed by. */
    private static final long TRACE_US = 1_000_000;

    /**
     * What becomes of an action that breaks a rule: {@code report} or, in tests, {@code refuse}.
     */
    private static final String INVARIANTS = "damsonslip.invariants";

    /** Events that are written behind a violation. */
    private static final int EVENTS_OF_A_VIOLATION = 16;

    private final EventLoop loop;
    private final Counters counters;
    private final SchedulingPolicy rules;
    private final Settings settings;
    private final EventLog events = new EventLog();
    private final InvariantMonitor monitor;
    private final RequestTrace trace;
    private final Map<String, RequestContext> exchanges = new HashMap<>();
    private final WorkerOverrides bans = new WorkerOverrides();

    /** Answers by class and kind. */
    private final long[][] answers;

    private final ArrayDeque<Event> waiting = new ArrayDeque<>();
    private WorkerGateway workers;
    private boolean handling;
    private int open;

    public SchedulerEngine(Settings settings, long seed, EventLoop loop, Counters counters) {
        this.loop = loop;
        this.counters = counters;
        this.rules = new SchedulingPolicy(settings, seed);
        this.settings = settings;
        this.trace = new RequestTrace(events, loop);
        this.monitor =
                new InvariantMonitor(
                        InvariantMonitor.Mode.valueOf(
                                System.getProperty(INVARIANTS, "report").toUpperCase(Locale.ROOT)),
                        this::violated);
        trace.settings(settings, loop.now());
        this.answers = new long[settings.classes().size()][Response.Kind.values().length];
    }

    /** So many processes are this one scheduler now; each counts as a scheduler of its own. */
    public void divided(PeerProcesses kin) {
        tell(
                new SchedulersChanged(
                        settings.schedulers() * kin.processes(),
                        settings.schedulerIndex() * kin.processes() + kin.index()));
    }

    /** Whether there is a list of workers to decide by. */
    public boolean isBegun() {
        return workers != null;
    }

    /** Begins with the list of workers that was kept; before anything else is told. */
    public void begin(WorkerGateway side, List<WorkerEntry> kept) {
        workers = side;
        trace.listed(WorkerListChange.KEPT, kept);
        tell(
                new WorkerListUpdate(
                        WorkerListChange.KEPT,
                        bans.apply(WorkerListChange.KEPT, kept, loop.now()),
                        loop.startedUs()));
        if (trace.on()) {
            stands();
        }
    }

    private void stands() {
        trace.stands(counters, rules.pools(), rules.workers(loop.now()));
        loop.in(TRACE_US, this::stands);
    }

    // ---- the guards of the rules

    /** Counts violations, and says whether what would be one may go on. */
    public InvariantMonitor monitor() {
        return monitor;
    }

    /** The newest events. */
    public EventLog events() {
        return events;
    }

    private void violated(Violation violation) {
        counters.add(Count.INVARIANTS_VIOLATED);
        LOG.error(
                "event=invariant_violated invariant={} job={} worker={} detail=\"{}\" events={}",
                violation.invariant(),
                violation.job(),
                violation.worker(),
                violation.detail(),
                events.newest(EVENTS_OF_A_VIOLATION, violation.job()));
    }

    private static List<EarlierAttempt> earlier(RequestContext exchange) {
        return exchange.executions.stream().map(Attempt::earlier).toList();
    }

    private JobClass classOf(Request query) {
        return settings.classes().get(query.jobClass());
    }

    private WorkerLocation place(String worker) {
        WorkerEntry listed = bans.listed(worker);
        return listed == null
                ? new WorkerLocation(worker, 0, 0)
                : new WorkerLocation(worker, listed.zone(), listed.cell());
    }

    /**
     * Whether an attempt may begin that is told this much time, at a worker that drains since then.
     */
    public boolean permitsSend(Attempt execution, long toldUs, long drainingSinceUs) {
        Request query = execution.query();
        SlowStartLoad cold = rules.coldLoad(execution.worker(), query.jobClass());
        return monitor.permits(
                SendGuard.check(
                        new SendGuard.Facts(
                                query.id(),
                                execution.worker(),
                                loop.now(),
                                drainingSinceUs,
                                settings.guarantees().drainGraceUs(),
                                !execution.exchange.closed(),
                                query.earliestDeadlineUs(),
                                toldUs,
                                cold)));
    }

    // ---- for operators

    public List<PoolState> pools() {
        return rules.pools();
    }

    public List<WorkerState> workers() {
        return rules.workers(loop.now());
    }

    /** How many classes there are. */
    public int classes() {
        return answers.length;
    }

    /** How many queries of a class have ended like this. */
    public long answers(int jobClass, Response.Kind kind) {
        return answers[jobClass][kind.ordinal()];
    }

    /** The workers that the list holds now. */
    public Set<String> targets() {
        return bans.listedWorkers();
    }

    /** Keeps new jobs from a worker until {@link #enable}; gives false if no list has named it. */
    public boolean disable(String id) {
        if (!bans.isKnown(id)) {
            return false;
        }
        told(bans.disable(id));
        workers.drain(id);
        return true;
    }

    /** Uses a worker again, as one that has just started; gives false if no list has named it. */
    public boolean enable(String id) {
        if (!bans.isKnown(id)) {
            return false;
        }
        told(bans.enable(id, loop.now()));
        return true;
    }

    /**
     * Whether an operator has taken the worker out: nothing more is written to it, decided or not.
     */
    public boolean bars(String id) {
        return bans.isDisabled(id);
    }

    /** The bans as a text that {@link #takeOver} reads in another process. */
    public String bans() {
        return bans.serialize(loop.now());
    }

    /** Bans that another process has kept hold here too. */
    public void takeOver(String text) throws WorkerOverrides.MalformedException {
        told(bans.restore(text));
    }

    private void told(List<WorkerEntry> changed) {
        if (!changed.isEmpty() && workers != null) {
            tell(new WorkerListUpdate(WorkerListChange.OVERRIDES, changed));
        }
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
    public RequestContext take(Request query, ResponseListener listener) {
        counters.add(Count.QUERIES_TAKEN);
        trace.taken(query);
        RequestContext exchange = new RequestContext(query, listener, this::count);
        open++;
        if (open > MOST_OPEN) {
            exchange.finish(
                    Response.throttled(
                            0)); // the module was not asked, so there is no figure to give
            return exchange;
        }
        exchanges.put(query.id(), exchange);
        tell(
                new JobArrived(
                        query.id(),
                        query.jobClass(),
                        query.tenant(),
                        query.subject(),
                        query.deadlineUs(),
                        query.slots(),
                        query.memory(),
                        query.mostRuns(),
                        query.fits()));
        return exchange;
    }

    private void count(RequestContext exchange, Response answer) {
        Request query = exchange.query();
        open--;
        monitor.permits(CloseGuard.checkAnswer(query.id(), loop.now(), query.deadlineUs()));
        if (answer.kind() == Response.Kind.THROTTLED) {
            monitor.permits(
                    RetryGuard.checkRejection(query.id(), classOf(query), earlier(exchange)));
        }
        answers[query.jobClass()][answer.kind().ordinal()]++;
        trace.answered(query, answer);
        counters.add(
                switch (answer.kind()) {
                    case SERVED -> Count.ANSWERS_SERVED;
                    case THROTTLED -> Count.ANSWERS_THROTTLED;
                    case FAILED -> Count.ANSWERS_FAILED;
                });
    }

    /** The client has gone. */
    public void gone(RequestContext exchange) {
        if (exchange.abandon()) {
            open--;
            counters.add(Count.QUERIES_GONE);
            events.add(loop.now(), Kind.DEPARTED, exchange.query().id(), "", 0);
            tell(new ClientDisconnected(exchange.query().id()));
            withdraw(exchange);
            forget(exchange);
        }
    }

    /**
     * What is still being written would come whole after its client's departure, also where calling
     * off is not allowed.
     */
    private void withdraw(RequestContext exchange) {
        for (Attempt execution : List.copyOf(exchange.executions)) {
            if (execution.open && workers.withdraw(execution)) {
                ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
            }
        }
    }

    /**
     * No query can be waited for any longer: whatever is open gets its final answer, as at its
     * deadline.
     */
    public void answerAll() {
        exchanges.values().stream()
                .filter(exchange -> !exchange.closed())
                .map(exchange -> exchange.query().id())
                .toList()
                .forEach(id -> tell(new TimerDue(SchedulingPolicy.lastLabel(id))));
    }

    // ---- the server side

    public void started(Attempt execution) {
        if (execution.open) {
            trace.started(execution);
            tell(new AttemptStarted(execution.query().id(), execution.number));
        }
    }

    /** An execution has ended; only the first end counts. */
    public void ended(Attempt execution, Attempt.End end) {
        if (!execution.open) {
            return;
        }
        execution.open = false;
        execution.outcome = end.outcome();
        trace.ended(execution, end.outcome());
        execution.timeout.cancel();
        RequestContext exchange = execution.exchange;
        exchange.outstanding--;
        JobClass of = classOf(execution.query());
        if (of.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && !end.outcome().provesNotRun()) {
            exchange.repeatsUntilUs =
                    Math.min(
                            exchange.repeatsUntilUs,
                            execution.sentUs() + of.idempotencyWindowUs() - ARRIVES_US);
        }
        counters.add(
                switch (end.outcome()) {
                    case SERVED -> Count.EXECUTIONS_SERVED;
                    case ERROR -> Count.EXECUTIONS_ERROR;
                    case FULL -> Count.EXECUTIONS_FULL;
                    case TIMED_OUT -> Count.EXECUTIONS_TIMED_OUT;
                    case NOT_CONNECTED -> Count.EXECUTIONS_NOT_CONNECTED;
                    case RESET -> Count.EXECUTIONS_RESET;
                    case CANCELLED -> Count.EXECUTIONS_CANCELLED;
                    case NEVER_SENT -> Count.EXECUTIONS_NEVER_SENT;
                });
        if (end.outcome() == AttemptOutcome.SERVED) {
            exchange.finish(Response.served(end.result()));
        }
        tell(
                new AttemptEnded(
                        execution.query().id(),
                        execution.number,
                        end.outcome(),
                        exchange.closed(),
                        end.report()));
        forget(exchange);
    }

    /** Discovery has sent its list or changes to it. */
    public void listed(WorkerListChange mode, List<WorkerEntry> list) {
        counters.add(Count.LIST_UPDATES);
        trace.listed(mode, list);
        tell(new WorkerListUpdate(mode, bans.apply(mode, list, loop.now())));
    }

    /** News of discovery's address after a reload that was asked for at that time. */
    public void discoveryAddress(DiscoveryAddressState news, long sinceUs) {
        events.add(
                loop.now(), Kind.LISTED, "", "address " + news.name().toLowerCase(Locale.ROOT), 0);
        tell(new DiscoveryAddressChanged(news, sinceUs));
    }

    /**
     * A call to discovery or the watch on it has ended.
     *
     * @param heardUs when something was last read from it
     */
    public void listLost(WorkerListChange mode, long heardUs) {
        counters.add(Count.LIST_FAILURES);
        trace.listed(mode, List.of());
        tell(new WorkerListUpdate(mode, List.of(), heardUs));
    }

    /**
     * Whether discovery's last list, or the worker's own answer to a probe, still allows to send to
     * it.
     */
    public boolean mayUse(String worker) {
        return rules.mayUse(worker, loop.now());
    }

    /** A connection to the worker, on which nothing was under way, has ended, and not from here. */
    public void connectionLost(String worker) {
        tell(new ConnectionLost(worker));
    }

    public void probed(String worker, ProbeResult result, LoadReport report) {
        trace.probed(worker, result);
        tell(new ProbeEnded(worker, result, report));
    }

    // ---- decisions

    /**
     * Hands events to the module one by one. Carrying out an action may lead to a further event at
     * once, which has to wait until the actions of the one at hand are done.
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
                    carryOutOrReport(action);
                }
            }
        } finally {
            handling = false;
        }
    }

    /**
     * Guards the actions behind one that fails, such as the timer by which its request gets an
     * answer.
     */
    private void carryOutOrReport(Action action) {
        try {
            carryOut(action);
        } catch (RuntimeException e) {
            counters.add(Count.ACTIONS_FAILED);
            LOG.error("event=action_failed action={}", action, e);
        }
    }

    private void carryOut(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof Cancel cancel) {
            cancel(exchanges.get(cancel.job()), cancel.attempt());
        } else if (action instanceof Reject refuse) {
            finish(refuse.job(), Response.throttled(refuse.retryAfterUs()));
        } else if (action instanceof Fail fail) {
            RequestContext exchange = exchanges.get(fail.job());
            finish(fail.job(), Response.failed(exchange != null && late(exchange)));
        } else if (action instanceof ProbeWorker probe) {
            counters.add(Count.PROBES_SENT);
            workers.probe(probe.worker(), probe.connectedBeforeUs());
        } else if (action instanceof SetTimer timer) {
            loop.at(timer.atUs(), () -> tell(new TimerDue(timer.label())));
        } else if (action instanceof WatchWorkerList) {
            trace.asked();
            workers.watch();
        } else if (action instanceof Log log) {
            LOG.info(log.text());
        }
    }

    private boolean late(RequestContext exchange) {
        return loop.now() + 50_000 > exchange.query().deadlineUs();
    }

    private void send(Send send) {
        RequestContext exchange = exchanges.get(send.job());
        if (exchange == null) { // closed while the module decided: it is still owed an end
            tell(new AttemptEnded(send.job(), 0, AttemptOutcome.NEVER_SENT, true, null));
            return;
        }
        counters.add(Count.EXECUTIONS_SENT);
        long now = loop.now();
        long deadline = exchange.query().deadlineUs();
        long endsBy = send.timeoutUs() > 0 ? Math.min(deadline, now + send.timeoutUs()) : deadline;
        WorkerLocation place = place(send.worker());
        boolean permitted =
                monitor.permits(
                        RetryGuard.check(
                                send.job(),
                                classOf(exchange.query()),
                                place,
                                earlier(exchange),
                                now));
        Attempt execution =
                new Attempt(
                        exchange,
                        exchange.executions.size(),
                        place,
                        now,
                        exchange.repeatsUntilUs,
                        endsBy);
        exchange.executions.add(execution);
        trace.sent(execution);
        exchange.outstanding++;
        execution.timeout = loop.at(endsBy, () -> stop(execution, AttemptOutcome.TIMED_OUT));
        if (exchange.closed() || !permitted) {
            ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
        } else {
            workers.start(execution);
        }
    }

    private void cancel(RequestContext exchange, int number) {
        if (exchange != null && number < exchange.executions.size()) {
            stop(exchange.executions.get(number), AttemptOutcome.CANCELLED);
        }
    }

    private void stop(Attempt execution, AttemptOutcome outcome) {
        if (execution.open) {
            workers.cancel(execution);
            ended(execution, Attempt.End.of(outcome));
        }
    }

    private void finish(String id, Response answer) {
        RequestContext exchange = exchanges.get(id);
        if (exchange != null) {
            exchange.finish(answer);
            forget(exchange);
        }
    }

    private void forget(RequestContext exchange) {
        if (exchange.closed() && exchange.outstanding == 0) {
            exchanges.remove(exchange.query().id());
        }
    }
}
