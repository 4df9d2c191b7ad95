package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Attempt;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.WorkerGateway;
import damsonslip.faktory.Worker.WaitingFetchRequest;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.JobText;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReport;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The worker side of the Faktory front: worker processes, their waiting fetches, and the
 * reservations of jobs. A FETCH offers a slot; the decision module chooses the job for it, and no
 * job is handed out before the store has recorded its reservation. Confined to the event loop.
 */
final class Consumers implements WorkerGateway, FetchDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(Consumers.class);

    /** A FETCH that gets no job is answered after this time, as Faktory's protocol requires. */
    private static final long FETCH_TIMEOUT_US = 2_000_000;

    /** How long an attempt waits for its worker's next FETCH, as when the worker is between two. */
    private static final long SLOT_TIMEOUT_US = 100_000;

    /** A worker without any connection counts as gone after this time. */
    private static final long RECONNECT_TIMEOUT_US = 2_000_000;

    /**
     * A worker without a heartbeat counts as gone after this time, as Faktory's protocol requires.
     */
    private static final long HEARTBEAT_TIMEOUT_US = 60_000_000;

    private static final long SWEEP_US = 500_000;

    /**
     * A worker counts as fetching from a queue for this time after its last FETCH: its runs may
     * take a while.
     */
    private static final long FETCH_MEMORY_US = 30_000_000;

    private final EventLoop loop;
    private final SiteSettings site;
    private final SchedulerEngine driver;
    private final AsyncStore store;
    private final Counters counters;
    private JobCoordinator coordinator;
    private final Map<String, Worker> consumers = new HashMap<>();

    /** The jobs that workers have or are about to receive, by job id. */
    private final Map<String, Reservation> reservations = new HashMap<>();

    /** An attempt that is about to be handed to a worker, or has been. */
    private static final class Reservation {
        final Attempt execution;
        final Worker consumer;
        boolean handedOut;
        EventLoop.Timer expiry = () -> {};

        Reservation(Attempt execution, Worker consumer) {
            this.execution = execution;
            this.consumer = consumer;
        }
    }

    Consumers(
            EventLoop loop,
            SiteSettings site,
            SchedulerEngine driver,
            AsyncStore store,
            Counters counters) {
        this.loop = loop;
        this.site = site;
        this.driver = driver;
        this.store = store;
        this.counters = counters;
        loop.in(SWEEP_US, this::sweep);
    }

    /** Sets the coordinator; called once, before any connection is accepted. */
    void setCoordinator(JobCoordinator jobs) {
        coordinator = jobs;
    }

    Collection<Worker> all() {
        return consumers.values();
    }

    /** The number of jobs with workers that a client waits for. */
    long awaitedWithWorkers() {
        return reservations.values().stream()
                .filter(held -> job(held.execution).record().hasWaitingClient())
                .count();
    }

    // ---- worker processes

    /**
     * Registers a worker's connection after its HELLO. A worker counts as cold until the store
     * knows an earlier start.
     */
    Worker register(Command.Hello hello, FaktoryConnection link) {
        Worker known = consumers.get(hello.wid());
        if (known != null && known.process.equals(hello.process())) {
            known.connections.add(link);
            return known;
        }
        if (known != null) { // a new process with the same id: the old one is gone, and this one is
            // cold
            stop(known, WorkerStatus.REMOVED);
        }
        long now = loop.now();
        Worker fresh =
                new Worker(
                        hello.wid(),
                        hello.process(),
                        index(site.zoneNames(), hello.labels()),
                        index(site.kindNames(), hello.labels()),
                        now);
        fresh.connections.add(link);
        fresh.lastHeartbeatUs = now;
        consumers.put(hello.wid(), fresh);
        updateList(fresh);
        store.submit(
                new StoreOperation.RecordFirstSeen(fresh.wid + "@" + fresh.process, now / 1000),
                sinceMs -> {
                    if (sinceMs * 1000 < fresh.startedUs) {
                        fresh.startedUs = sinceMs * 1000;
                        updateList(fresh);
                    }
                },
                () -> {});
        return fresh;
    }

    private static int index(List<String> names, List<String> labels) {
        return labels.stream().mapToInt(names::indexOf).filter(i -> i >= 0).findFirst().orElse(0);
    }

    private void updateList(Worker consumer) {
        driver.listed(WorkerListChange.CHANGES, List.of(consumer.entry()));
    }

    void disconnected(Worker consumer, FaktoryConnection link) {
        consumer.connections.remove(link);
        if (consumer.waitingFetches.removeIf(offer -> offer.link() == link)) {
            reportLoad(consumer);
        }
        if (consumer.connections.isEmpty()) {
            loop.in(
                    RECONNECT_TIMEOUT_US,
                    () -> {
                        if (consumer.connections.isEmpty()) {
                            stop(consumer, WorkerStatus.REMOVED);
                        }
                    });
        }
    }

    void heartbeat(FaktoryConnection link, Command.Heartbeat beat) {
        Worker consumer = consumers.get(beat.wid());
        if (consumer == null || consumer != link.worker()) {
            link.reply(Reply.error("ERR unknown worker " + beat.wid()));
            return;
        }
        consumer.lastHeartbeatUs = loop.now();
        consumer.rssKb = beat.rssKb();
        if (beat.state().equals("quiet") || beat.state().equals("terminate")) {
            stop(consumer, WorkerStatus.DRAINING);
        }
        link.reply(
                consumer.requestedState.isEmpty()
                        ? Reply.ok()
                        : Reply.bulk("{\"state\":\"" + consumer.requestedState + "\"}"));
    }

    /** Drains a worker; it is told so in the reply to its next heartbeat. */
    @Override
    public void drain(String wid) {
        Worker consumer = consumers.get(wid);
        if (consumer != null) {
            consumer.requestedState = "quiet";
            stop(consumer, WorkerStatus.DRAINING);
        }
    }

    /**
     * Stops a worker: its waiting fetches get no job, and attempts that were not handed out return
     * unrun, also those whose reservation is just being recorded. A worker that is gone loses the
     * jobs that it has.
     */
    private void stop(Worker consumer, WorkerStatus status) {
        if (consumer.status == status || consumer.status == WorkerStatus.REMOVED) {
            return;
        }
        consumer.status = status;
        updateList(consumer);
        List<Attempt> expected = List.copyOf(consumer.placedAttempts);
        consumer.placedAttempts.clear();
        expected.forEach(execution -> driver.ended(execution, Attempt.End.of(AttemptOutcome.FULL)));
        while (!consumer.waitingFetches.isEmpty()) {
            WaitingFetchRequest offer = consumer.waitingFetches.poll();
            offer.timeout().cancel();
            offer.link().reply(Reply.nullBulk());
        }
        if (status == WorkerStatus.REMOVED) {
            consumers.remove(consumer.wid);
            for (Reservation held : List.copyOf(reservations.values())) {
                if (held.consumer == consumer && held.handedOut) {
                    job(held.execution).failure = RunFailure.WORKER_GONE;
                    end(held, AttemptOutcome.RESET);
                }
            }
        }
    }

    private void sweep() {
        long silentSince = loop.now() - HEARTBEAT_TIMEOUT_US;
        for (Worker consumer : new ArrayList<>(consumers.values())) {
            if (consumer.lastHeartbeatUs < silentSince) {
                LOG.info("worker {} has stopped beating", consumer.wid);
                stop(consumer, WorkerStatus.REMOVED);
            }
            consumer.decaySlots();
        }
        loop.in(SWEEP_US, this::sweep);
    }

    // ---- slots

    void fetch(FaktoryConnection link, Command.Fetch fetch) {
        Worker consumer = link.worker();
        if (consumer == null) {
            link.reply(Reply.error("ERR only a worker, with a wid in its HELLO, may fetch"));
            return;
        }
        if (!consumer.isRunning()) {
            loop.in(FETCH_TIMEOUT_US, () -> link.reply(Reply.nullBulk()));
            return;
        }
        consumer.lastHeartbeatUs = loop.now(); // a FETCH shows that it is alive
        consumer.recordFetch(fetch.queues(), loop.now());
        WaitingFetchRequest[] offer = new WaitingFetchRequest[1];
        offer[0] =
                new WaitingFetchRequest(
                        link,
                        fetch.queues(),
                        loop.in(
                                FETCH_TIMEOUT_US,
                                () -> {
                                    if (consumer.waitingFetches.remove(offer[0])) {
                                        link.reply(Reply.nullBulk());
                                    }
                                }),
                        loop.now());
        consumer.waitingFetches.add(offer[0]);
        for (Attempt execution : consumer.placedAttempts) {
            WaitingFetchRequest taken = consumer.takeWaitingFetch(job(execution).queue());
            if (taken != null) {
                consumer.placedAttempts.remove(execution);
                reserve(execution, consumer, taken);
                return;
            }
        }
        reportFetch(consumer);
        coordinator.dispatchSoon();
    }

    private void reportLoad(Worker consumer) {
        driver.probed(consumer.wid, ProbeResult.HEALTHY, load(consumer));
    }

    /**
     * Reports a FETCH to the decision module: the worker is alive, with so many free slots and so
     * many in all.
     */
    private void reportFetch(Worker consumer) {
        LoadReport free = load(consumer);
        driver.probed(
                consumer.wid,
                ProbeResult.HEALTHY,
                LoadReport.fromOfferedSlots(
                        free.freeSlots(),
                        free.freeMemory(),
                        free.reservedMemory(),
                        Math.max(1, consumer.slots())));
    }

    private static LoadReport load(Worker consumer) {
        return new LoadReport(
                Math.max(0, consumer.waitingFetches.size() - consumer.placedAttempts.size()),
                Double.NaN,
                consumer.slotsInUse);
    }

    private static DispatchedJob job(Attempt execution) {
        return (DispatchedJob) execution.query().cargo();
    }

    // ---- FetchDirectory

    @Override
    public boolean fetches(String worker, String queue) {
        Worker consumer = consumers.get(worker);
        return consumer != null && consumer.fetches(queue, loop.now() - FETCH_MEMORY_US);
    }

    @Override
    public Collection<WaitingFetch> waitingFetches() {
        Map<List<String>, WaitingFetch> found = new LinkedHashMap<>();
        for (Worker consumer : consumers.values()) {
            if (consumer.isRunning()) {
                consumer.waitingFetches.forEach(
                        offer ->
                                found.putIfAbsent(
                                        offer.queues(),
                                        new WaitingFetch(offer.queues(), offer.sinceUs())));
            }
        }
        return found.values();
    }

    @Override
    public boolean isFetchWaiting(List<String> queues) {
        return consumers.values().stream()
                .anyMatch(
                        consumer ->
                                consumer.isRunning()
                                        && consumer.waitingFetches.stream()
                                                .anyMatch(offer -> offer.queues().equals(queues)));
    }

    @Override
    public boolean isFetchWaiting(String queue) {
        return consumers.values().stream()
                .anyMatch(consumer -> consumer.isRunning() && consumer.waitingFetches(queue));
    }

    @Override
    public boolean isPresent(String worker) {
        return consumers.containsKey(worker);
    }

    // ---- attempts

    @Override
    public void start(Attempt execution) {
        Worker consumer = consumers.get(execution.worker());
        if (consumer == null || !consumer.isRunning()) {
            driver.ended(execution, Attempt.End.of(AttemptOutcome.FULL));
            return;
        }
        WaitingFetchRequest offer = consumer.takeWaitingFetch(job(execution).queue());
        if (offer != null) {
            reserve(execution, consumer, offer);
            return;
        }
        consumer.placedAttempts.add(execution);
        loop.in(
                SLOT_TIMEOUT_US,
                () -> {
                    if (consumer.placedAttempts.remove(execution)) {
                        driver.ended(execution, Attempt.End.of(AttemptOutcome.FULL));
                    }
                });
    }

    /**
     * Records the reservation, then hands the job out. So after a restart a job that the store has
     * as queued was never handed out, and one that it has as reserved may have run.
     */
    private void reserve(Attempt execution, Worker consumer, WaitingFetchRequest offer) {
        DispatchedJob job = job(execution);
        Reservation held = new Reservation(execution, consumer);
        reservations.put(job.jid(), held);
        consumer.slotsInUse += execution.query().slots();
        coordinator
                .jobTable()
                .move(job.entry, job.record().reserved(consumer.wid, loop.now() / 1000));
        store.submit(
                new StoreOperation.Reserve(job.record()),
                body -> handOut(held, offer, body),
                () -> handBack(held, offer, AttemptOutcome.FULL));
    }

    private void handOut(Reservation held, WaitingFetchRequest offer, String body) {
        DispatchedJob job = job(held.execution);
        boolean wanted = held.execution.open() && reservations.get(job.jid()) == held;
        if (!wanted || body == null || !held.consumer.isRunning() || offer.link().isClosed()) {
            handBack(held, offer, AttemptOutcome.FULL);
            return;
        }
        counters.add(Count.FETCHES_ANSWERED);
        counters.add(Count.EXECUTIONS_WRITTEN); // the reply is written whole, and from here on the
        // job may have run
        held.handedOut = true;
        job.ran = true;
        job.failure = null;
        held.expiry = loop.in(job.record().options().reservationMs() * 1000, () -> expire(held));
        offer.link().reply(Reply.bulk(JobText.merge(body, job.record(), job.entry.enqueuedMs())));
        driver.started(held.execution);
    }

    /** Ends a reservation and frees its slots; returns false if it had ended before. */
    private boolean release(Reservation held) {
        boolean was = reservations.remove(job(held.execution).jid(), held);
        held.consumer.slotsInUse -= was ? held.execution.query().slots() : 0;
        return was;
    }

    private void expire(Reservation held) {
        job(held.execution).failure = RunFailure.RESERVATION_EXPIRED;
        end(held, AttemptOutcome.RESET);
    }

    /**
     * Extends a reservation at its worker's request; returns false if the worker does not have the
     * job.
     */
    boolean extend(Worker by, String jid, long untilMs) {
        Reservation held = reservations.get(jid);
        if (held == null || held.consumer != by || !held.handedOut) {
            return false;
        }
        held.expiry.cancel();
        held.expiry = loop.at(untilMs * 1000, () -> expire(held));
        return true;
    }

    /**
     * Returns a job that was not handed out, so that the decision module may place it elsewhere;
     * its FETCH waits again.
     */
    private void handBack(Reservation held, WaitingFetchRequest offer, AttemptOutcome outcome) {
        DispatchedJob job = job(held.execution);
        if (release(held) && held.execution.open()) {
            coordinator.returnUnrun(job);
        }
        if (!offer.link().isClosed()) {
            fetch(offer.link(), new Command.Fetch(offer.queues()));
        }
        driver.ended(held.execution, Attempt.End.of(outcome));
    }

    /**
     * Forgets an attempt. Faktory has no way to cancel a job at its worker; its report will be a
     * late one.
     */
    @Override
    public void cancel(Attempt execution) {
        Worker consumer = consumers.get(execution.worker());
        if (consumer != null) {
            consumer.placedAttempts.remove(execution);
        }
        Reservation held = reservations.get(execution.query().id());
        if (held != null && held.execution == execution) {
            held.expiry.cancel();
            release(held);
        }
    }

    private void end(Reservation held, AttemptOutcome outcome) {
        held.expiry.cancel();
        if (release(held)) {
            // without a load report: the slot is free only once its worker fetches again
            driver.ended(held.execution, new Attempt.End(outcome, null, ""));
        }
    }

    /**
     * Handles a worker's report on a job; returns false if the worker does not have the job, or no
     * longer.
     *
     * @param how how the run failed; null if it succeeded
     * @param acknowledge called once the store has recorded the report, with an error or null
     */
    boolean report(
            Worker by,
            String jid,
            RunFailure how,
            java.util.function.Consumer<String> acknowledge) {
        Reservation held = reservations.get(jid);
        if (held == null || held.consumer != by || !held.handedOut) {
            return false;
        }
        DispatchedJob job = job(held.execution);
        job.failure = how;
        job.acknowledge = acknowledge;
        end(held, how == null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR);
        if (job.acknowledge
                != null) { // the decision module tries it again, so there is nothing to record yet
            job.acknowledge = null;
            acknowledge.accept(null);
        }
        return true;
    }

    /** Faktory has no probes; a FETCH carries the same information. */
    @Override
    public void probe(String worker, long connectedByUs) {
        loop.execute(() -> driver.probed(worker, ProbeResult.UNREACHABLE, null));
    }

    /** Workers register themselves, so there is no list to watch. */
    @Override
    public void watch() {}
}
