package damsonslip.engine;

import damsonslip.engine.invariants.InvariantMonitor;
import damsonslip.membership.overrides.WorkerOverrides;
import damsonslip.membership.peers.PeerProcesses;
import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.ConnectionLost;
import damsonslip.policy.api.DiscoveryAddressChanged;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerState;
import java.util.List;
import java.util.Set;

/**
 * The scheduler behind a front: accepts requests, reports what happens to the decision module, and
 * executes its actions through a {@link WorkerGateway}.
 *
 * <p>This class only connects the parts of the engine: {@link OpenRequests}, {@link
 * AttemptManager}, {@link WorkerList}, {@link PolicyDispatcher}, {@link ActionExecutor} and {@link
 * EngineGuards}. All methods are called on the {@link EventLoop}; times are in microseconds on its
 * clock.
 */
public final class SchedulerEngine {
    /** Requests beyond this number of open ones are rejected without asking the module. */
    public static final int MAX_OPEN_REQUESTS = 2_000;

    private final EventLoop loop;
    private final Settings settings;
    private final SchedulingPolicy policy;
    private final EventLog eventLog = new EventLog();
    private final EngineGuards guards;
    private final EngineStatistics statistics;
    private final RequestTrace trace;
    private final StateTrace stateTrace;
    private final PolicyDispatcher dispatcher;
    private final WorkerList workerList;
    private final OpenRequests requests;
    private final AttemptManager attempts;
    private final ActionExecutor executor;

    /** Null until {@link #start}. */
    private WorkerGateway gateway;

    /**
     * Creates an engine without workers; call {@link #start} before anything else.
     *
     * @param seed seeds the random choices of the decision module
     */
    public SchedulerEngine(Settings settings, long seed, EventLoop loop, Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.policy = new SchedulingPolicy(settings, seed);
        this.trace = new RequestTrace(eventLog, loop);
        this.stateTrace = new StateTrace(loop, counters, policy);
        this.guards = new EngineGuards(loop, policy, settings, eventLog, counters);
        this.statistics = new EngineStatistics(counters, settings.classes().size());
        this.dispatcher = new PolicyDispatcher(policy, loop, this::execute);
        this.workerList = new WorkerList(loop, counters, trace, dispatcher::deliver);
        this.requests = new OpenRequests(loop, statistics, trace, guards, dispatcher::deliver);
        this.attempts =
                new AttemptManager(
                        loop,
                        settings,
                        statistics,
                        trace,
                        guards,
                        dispatcher::deliver,
                        this::gateway,
                        workerList,
                        requests);
        this.executor =
                new ActionExecutor(
                        loop,
                        counters,
                        trace,
                        dispatcher::deliver,
                        this::gateway,
                        requests,
                        attempts);
        stateTrace.settings(settings);
    }

    private void execute(Action action) {
        executor.execute(action);
    }

    private WorkerGateway gateway() {
        return gateway;
    }

    /**
     * Starts with the worker list that an earlier process has cached.
     *
     * @param gateway the gateway to the workers
     * @param cached the cached list; empty if there is none
     */
    public void start(WorkerGateway gateway, List<WorkerEntry> cached) {
        this.gateway = gateway;
        workerList.load(cached);
        stateTrace.start();
    }

    /** Whether {@link #start} was called, so that there is a worker list to decide by. */
    public boolean isStarted() {
        return workerList.isLoaded();
    }

    /** Divides this scheduler's capacity anew when processes of it have started or ended. */
    public void updatePeerProcesses(PeerProcesses peers) {
        dispatcher.deliver(
                new SchedulersChanged(
                        settings.schedulers() * peers.processes(),
                        settings.schedulerIndex() * peers.processes() + peers.index()));
    }

    /** Returns the monitor that counts violations of the operators' rules. */
    public InvariantMonitor invariantMonitor() {
        return guards.monitor();
    }

    /** Returns the log of the newest events. */
    public EventLog eventLog() {
        return eventLog;
    }

    /** Returns the state of each worker pool. */
    public List<PoolState> poolStates() {
        return policy.pools();
    }

    /** Returns the state of each worker. */
    public List<WorkerState> workerStates() {
        return policy.workers(loop.nowUs());
    }

    /** Returns the number of request classes. */
    public int classCount() {
        return statistics.classCount();
    }

    /** Returns how many requests of a class got a final response of this kind. */
    public long responseCount(int jobClass, Response.Kind kind) {
        return statistics.responseCount(jobClass, kind);
    }

    /** Returns the number of requests that still lack their final response. */
    public int openRequestCount() {
        return requests.openCount();
    }

    /** Whether the id belongs to a request that is open or has an open attempt. */
    public boolean isIdInUse(String id) {
        return requests.contains(id);
    }

    /**
     * Accepts a request; the listener may get the response before this returns.
     *
     * @param request a request whose id is not in use, see {@link #isIdInUse}
     */
    public RequestContext submit(Request request, ResponseListener listener) {
        return requests.submit(request, listener);
    }

    /** Closes a request whose client has disconnected; does nothing if it is closed. */
    public void clientDisconnected(RequestContext context) {
        if (requests.abandon(context)) {
            attempts.withdrawUnsent(context);
            requests.removeIfFinished(context);
        }
    }

    /** Has every open request answered now, as if its deadline were reached. */
    public void answerAllOpen() {
        requests.answerAllOpen();
    }

    /** Whether the worker may be sent to, by discovery's last list or its own health checks. */
    public boolean isUsable(String worker) {
        return policy.mayUse(worker, loop.nowUs());
    }

    /**
     * Whether the first byte of an attempt may be written now, by the invariants.
     *
     * @param timeLimitUs the time limit that the worker is given
     * @param drainingSinceUs when the worker was reported as draining or removed; {@link
     *     Long#MAX_VALUE} if it runs
     */
    public boolean permitsSend(Attempt attempt, long timeLimitUs, long drainingSinceUs) {
        return guards.permitsSend(attempt, timeLimitUs, drainingSinceUs);
    }

    /** Records that the worker runs the request; does nothing if the attempt has ended. */
    public void attemptStarted(Attempt attempt) {
        attempts.started(attempt);
    }

    /** Records the end of an attempt; only the first end counts. */
    public void attemptEnded(Attempt attempt, Attempt.Completion end) {
        attempts.ended(attempt, end);
    }

    /** Returns the ids of the workers on discovery's list. */
    public Set<String> listedWorkers() {
        return workerList.listedWorkers();
    }

    /** Applies a worker list, or changes to it, from discovery. */
    public void updateWorkers(WorkerListChange change, List<WorkerEntry> list) {
        workerList.update(change, list);
    }

    /**
     * Records that a call to discovery or the watch on it has ended.
     *
     * @param lastReadUs when something was last read from discovery
     */
    public void workerListFailed(WorkerListChange failure, long lastReadUs) {
        workerList.updateFailed(failure, lastReadUs);
    }

    /**
     * Records how far a change of discovery's address has come.
     *
     * @param sinceUs when the operator asked for the reload
     */
    public void discoveryAddressChanged(DiscoveryAddressState state, long sinceUs) {
        trace.discoveryAddressChanged(state);
        dispatcher.deliver(new DiscoveryAddressChanged(state, sinceUs));
    }

    /** Records that the peer has closed an idle connection to a worker. */
    public void workerConnectionLost(String worker) {
        dispatcher.deliver(new ConnectionLost(worker));
    }

    /**
     * Records the result of a health check.
     *
     * @param report the worker's load report; null if it sent none
     */
    public void probeEnded(String worker, ProbeResult result, LoadReport report) {
        trace.probed(worker, result);
        dispatcher.deliver(new ProbeEnded(worker, result, report));
    }

    /**
     * Sends a worker no new requests until {@link #enableWorker}; returns false if it is unknown.
     */
    public boolean disableWorker(String worker) {
        if (!workerList.disable(worker)) {
            return false;
        }
        gateway.workerDisabled(worker);
        return true;
    }

    /** Uses a worker again, as one that has just started; returns false if it is unknown. */
    public boolean enableWorker(String worker) {
        return workerList.enable(worker);
    }

    /** Whether an operator has disabled the worker, so that nothing more may be written to it. */
    public boolean isDisabled(String worker) {
        return workerList.isDisabled(worker);
    }

    /** Returns the overrides as text for {@link #restoreOverrides} in another process. */
    public String overridesText() {
        return workerList.overridesText();
    }

    /**
     * Replaces the overrides by those of another process.
     *
     * @throws WorkerOverrides.MalformedException if the text is incomplete or of another version
     */
    public void restoreOverrides(String text) throws WorkerOverrides.MalformedException {
        workerList.restoreOverrides(text);
    }
}
