package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import damsonslip.store.AsyncStore;
import damsonslip.store.StoreOperation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The registered worker processes, from HELLO until they disconnect or stop sending heartbeats.
 * Keeps the worker list of the scheduling policy up to date. Confined to the event loop.
 */
final class WorkerRegistry implements FetchDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerRegistry.class);

    /** A worker without any connection is removed after this time. */
    private static final long RECONNECT_TIMEOUT_US = 2_000_000;

    /** A worker without a heartbeat is removed after this time; from Faktory's protocol. */
    private static final long HEARTBEAT_TIMEOUT_US = 60_000_000;

    private static final long SWEEP_INTERVAL_US = 500_000;

    /**
     * A worker counts as fetching from a queue for this time after its last FETCH, since a run may
     * take a while.
     */
    private static final long RECENT_FETCH_US = 30_000_000;

    /** How many names of queues are remembered for all workers: some 8 MB of the longest names. */
    private static final int MAX_REMEMBERED_QUEUES = 20_000;

    private final EventLoop loop;
    private final SiteSettings site;
    private final SchedulerEngine engine;
    private final AsyncStore store;
    private final Reservations reservations;
    private final Map<String, Worker> workers = new HashMap<>();

    WorkerRegistry(
            EventLoop loop,
            SiteSettings site,
            SchedulerEngine engine,
            AsyncStore store,
            Reservations reservations) {
        this.loop = loop;
        this.site = site;
        this.engine = engine;
        this.store = store;
        this.reservations = reservations;
        loop.repeatAfter(SWEEP_INTERVAL_US, this::sweep);
    }

    /** How many queues are remembered for each worker: all together take a bounded memory. */
    int maxQueuesOfWorker() {
        return Math.max(1, MAX_REMEMBERED_QUEUES / Math.max(1, workers.size()));
    }

    Collection<Worker> all() {
        return workers.values();
    }

    /** Returns the registered worker with this id, or null. */
    Worker get(String wid) {
        return workers.get(wid);
    }

    /**
     * Registers a connection of a worker after its HELLO. A worker counts as just started, and so
     * as warming up, unless the store has an earlier start of its process. A new process with the
     * id of a registered worker replaces that worker.
     */
    Worker register(Command.Hello hello, FaktoryConnection connection) {
        Worker registered = workers.get(hello.wid());
        if (registered != null && registered.process.equals(hello.process())) {
            registered.connections.add(connection);
            return registered;
        }
        if (registered != null) {
            stop(registered, WorkerStatus.REMOVED);
        }
        Worker worker =
                new Worker(
                        hello.wid(),
                        hello.process(),
                        labelIndex(site.zoneNames(), hello.labels()),
                        labelIndex(site.machineKindNames(), hello.labels()),
                        loop.nowUs());
        worker.connections.add(connection);
        workers.put(hello.wid(), worker);
        publish(worker);
        lookUpStart(worker);
        return worker;
    }

    private static int labelIndex(List<String> names, List<String> labels) {
        return labels.stream().mapToInt(names::indexOf).filter(i -> i >= 0).findFirst().orElse(0);
    }

    /**
     * Looks up in the store whether this process was seen earlier, before a restart of the
     * scheduler.
     */
    private void lookUpStart(Worker worker) {
        String id = worker.wid + "@" + worker.process;
        store.submit(
                new StoreOperation.RecordFirstSeen(id, worker.startedUs / 1000),
                firstSeenMs -> {
                    if (firstSeenMs < worker.startedUs / 1000) {
                        worker.startedUs = firstSeenMs * 1000;
                        publish(worker);
                    }
                },
                () -> {});
    }

    private void publish(Worker worker) {
        engine.updateWorkers(WorkerListChange.CHANGES, List.of(worker.entry()));
    }

    void disconnected(Worker worker, FaktoryConnection connection) {
        worker.connections.remove(connection);
        if (worker.pendingFetches.removeIf(fetch -> fetch.connection() == connection)) {
            engine.probeEnded(worker.wid, ProbeResult.HEALTHY, worker.loadReport());
        }
        if (worker.connections.isEmpty()) {
            loop.scheduleAfter(RECONNECT_TIMEOUT_US, () -> removeIfDisconnected(worker));
        }
    }

    private void removeIfDisconnected(Worker worker) {
        if (worker.connections.isEmpty()) {
            stop(worker, WorkerStatus.REMOVED);
        }
    }

    void heartbeat(FaktoryConnection connection, Command.Heartbeat heartbeat) {
        Worker worker = workers.get(heartbeat.wid());
        if (worker == null || worker != connection.worker()) {
            CommandError error = CommandError.error("unknown worker " + heartbeat.wid());
            connection.reply(Reply.error(error));
            return;
        }
        worker.lastHeartbeatUs = loop.nowUs();
        worker.rssKb = heartbeat.rssKb();
        if (heartbeat.state().equals("quiet") || heartbeat.state().equals("terminate")) {
            stop(worker, WorkerStatus.DRAINING);
        }
        connection.reply(
                worker.requestedState.isEmpty()
                        ? Reply.ok()
                        : Reply.bulk("{\"state\":\"" + worker.requestedState + "\"}"));
    }

    /** Drains a worker; the reply to its next heartbeat tells the worker to stop fetching. */
    void drain(String wid) {
        Worker worker = workers.get(wid);
        if (worker != null) {
            worker.requestedState = "quiet";
            stop(worker, WorkerStatus.DRAINING);
        }
    }

    /**
     * Stops a worker: its pending fetches get no job, and attempts that were not handed out are
     * returned without having run, including those whose reservation is being recorded. For a
     * worker that is removed, the reservations of the jobs handed out to it end as well.
     */
    private void stop(Worker worker, WorkerStatus status) {
        if (worker.status == status || worker.status == WorkerStatus.REMOVED) {
            return;
        }
        worker.status = status;
        publish(worker);
        returnPlacedAttempts(worker);
        endPendingFetches(worker);
        if (status == WorkerStatus.REMOVED) {
            workers.remove(worker.wid);
            reservations.endAllOf(worker);
        }
    }

    private void returnPlacedAttempts(Worker worker) {
        List<Attempt> placed = List.copyOf(worker.placedAttempts);
        worker.placedAttempts.clear();
        placed.forEach(
                attempt ->
                        engine.attemptEnded(attempt, Attempt.Completion.of(AttemptOutcome.FULL)));
    }

    /** Replies to the pending fetches of a worker without a job. */
    static void endPendingFetches(Worker worker) {
        while (!worker.pendingFetches.isEmpty()) {
            worker.pendingFetches.poll().replyWithoutJob();
        }
    }

    private void sweep() {
        long heartbeatCutoffUs = loop.nowUs() - HEARTBEAT_TIMEOUT_US;
        for (Worker worker : new ArrayList<>(workers.values())) {
            if (worker.lastHeartbeatUs < heartbeatCutoffUs) {
                LOG.info("event=worker_removed wid={} reason=heartbeat_timeout", worker.wid);
                stop(worker, WorkerStatus.REMOVED);
            }
            worker.decaySlots();
        }
    }

    private Stream<Worker> running() {
        return workers.values().stream().filter(Worker::isRunning);
    }

    @Override
    public boolean fetches(String wid, String queue) {
        Worker worker = workers.get(wid);
        return worker != null && worker.fetches(queue, loop.nowUs() - RECENT_FETCH_US);
    }

    @Override
    public Collection<WaitingFetch> waitingFetches() {
        Map<List<String>, WaitingFetch> byQueues = new LinkedHashMap<>();
        running()
                .flatMap(worker -> worker.pendingFetches.stream())
                .map(fetch -> new WaitingFetch(fetch.queues(), fetch.sinceUs()))
                .forEach(fetch -> byQueues.putIfAbsent(fetch.queues(), fetch));
        return byQueues.values();
    }

    @Override
    public boolean isFetchWaiting(List<String> queues) {
        return running()
                .flatMap(worker -> worker.pendingFetches.stream())
                .anyMatch(fetch -> fetch.queues().equals(queues));
    }

    @Override
    public boolean isFetchWaiting(String queue) {
        return running().anyMatch(worker -> worker.hasPendingFetch(queue));
    }

    @Override
    public boolean isPresent(String wid) {
        return workers.containsKey(wid);
    }
}
