package damsonslip.faktory;

import damsonslip.Dispatch.ListMode;
import damsonslip.Dispatch.Outcome;
import damsonslip.Dispatch.Report;
import damsonslip.Dispatch.Status;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Execution;
import damsonslip.core.Loop;
import damsonslip.core.WorkerSide;
import damsonslip.faktory.Consumer.Offer;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.JobText;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.sets.Fate;
import damsonslip.settings.Site;
import damsonslip.store.AsyncStore;
import damsonslip.store.Op;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server side: workers that fetch. A FETCH offers a slot; which job goes there is the module's decision,
 * and nothing is handed out before the store knows of it.
 */
final class Consumers implements WorkerSide, Fetchers {
    private static final Logger LOG = LoggerFactory.getLogger(Consumers.class);
    /** A FETCH without a job is answered after this long, as the protocol has it. */
    private static final long FETCH_US = 2_000_000;
    /** A placed job waits this long for a slot to be offered, as when a worker is between two fetches. */
    private static final long OFFER_US = 100_000;
    /** A worker without any connection is taken to be gone after this long. */
    private static final long GONE_US = 2_000_000;
    /** A worker that does not beat for this long is taken to be gone. */
    private static final long BEAT_US = 60_000_000;
    private static final long SWEEP_US = 500_000;
    /** A worker fetches from a queue if it did within this time: one FETCH waits for two seconds, its run may take more. */
    private static final long FETCHED_US = 30_000_000;

    private final Loop loop;
    private final Site site;
    private final Driver driver;
    private final AsyncStore store;
    private final Counters counters;
    private Desk desk;
    private final Map<String, Consumer> consumers = new HashMap<>();
    /** What is with a worker, by job. */
    private final Map<String, Reservation> reservations = new HashMap<>();

    /** An execution on its way to a worker, or with it. */
    private static final class Reservation {
        final Execution execution;
        final Consumer consumer;
        boolean handedOut;
        Loop.Timer lapse = () -> { };

        Reservation(Execution execution, Consumer consumer) {
            this.execution = execution;
            this.consumer = consumer;
        }
    }

    Consumers(Loop loop, Site site, Driver driver, AsyncStore store, Counters counters) {
        this.loop = loop;
        this.site = site;
        this.driver = driver;
        this.store = store;
        this.counters = counters;
        loop.in(SWEEP_US, this::sweep);
    }

    /** Where jobs come from, and go when they have not run; before anything else is told. */
    void begin(Desk from) {
        desk = from;
    }

    Collection<Consumer> all() {
        return consumers.values();
    }

    /** How many jobs workers have in hand that somebody waits for. */
    long awaitedInHand() {
        return reservations.values().stream().filter(held -> job(held.execution).record().awaited()).count();
    }

    // ---- workers come, beat, and go

    /** A worker's connection has said HELLO. Guards fresh workers: until the store tells otherwise one is cold. */
    Consumer joined(Command.Hello hello, FaktoryLink link) {
        Consumer known = consumers.get(hello.wid());
        if (known != null && known.process.equals(hello.process())) {
            known.links.add(link);
            return known;
        }
        if (known != null) { // another process under the same name: the one before is gone, and this one is cold
            stop(known, Status.GONE);
        }
        long now = loop.now();
        Consumer fresh = new Consumer(hello.wid(), hello.process(), index(site.zoneNames(), hello.labels()),
            index(site.kindNames(), hello.labels()), now);
        fresh.links.add(link);
        fresh.beatUs = now;
        consumers.put(hello.wid(), fresh);
        list(fresh);
        store.ask(new Op.FirstSeen(fresh.wid + "@" + fresh.process, now / 1000), sinceMs -> {
            if (sinceMs * 1000 < fresh.startedUs) {
                fresh.startedUs = sinceMs * 1000;
                list(fresh);
            }
        }, () -> { });
        return fresh;
    }

    private static int index(List<String> names, List<String> labels) {
        return labels.stream().mapToInt(names::indexOf).filter(i -> i >= 0).findFirst().orElse(0);
    }

    private void list(Consumer consumer) {
        driver.listed(ListMode.CHANGES, List.of(consumer.entry()));
    }

    void left(Consumer consumer, FaktoryLink link) {
        consumer.links.remove(link);
        if (consumer.offers.removeIf(offer -> offer.link() == link)) {
            report(consumer);
        }
        if (consumer.links.isEmpty()) {
            loop.in(GONE_US, () -> {
                if (consumer.links.isEmpty()) {
                    stop(consumer, Status.GONE);
                }
            });
        }
    }

    void beat(FaktoryLink link, Command.Beat beat) {
        Consumer consumer = consumers.get(beat.wid());
        if (consumer == null || consumer != link.consumer()) {
            link.reply(Reply.error("ERR unknown worker " + beat.wid()));
            return;
        }
        consumer.beatUs = loop.now();
        consumer.rssKb = beat.rssKb();
        if (beat.state().equals("quiet") || beat.state().equals("terminate")) {
            stop(consumer, Status.DRAINING);
        }
        link.reply(consumer.asked.isEmpty() ? Reply.ok() : Reply.bulk("{\"state\":\"" + consumer.asked + "\"}"));
    }

    /** An operator's wish, told to the worker with its next beat. */
    @Override
    public void drain(String wid) {
        Consumer consumer = consumers.get(wid);
        if (consumer != null) {
            consumer.asked = "quiet";
            stop(consumer, Status.DRAINING);
        }
    }

    /**
     * From here on the worker gets nothing new: its waiting fetches end empty and what was placed but not handed
     * out goes back unrun. Guards the drain rule, also for jobs whose reservation is just being recorded.
     */
    private void stop(Consumer consumer, Status status) {
        if (consumer.status == status || consumer.status == Status.GONE) {
            return;
        }
        consumer.status = status;
        list(consumer);
        List<Execution> expected = List.copyOf(consumer.expected);
        consumer.expected.clear();
        expected.forEach(execution -> driver.ended(execution, Execution.End.of(Outcome.FULL)));
        while (!consumer.offers.isEmpty()) {
            Offer offer = consumer.offers.poll();
            offer.timeout().cancel();
            offer.link().reply(Reply.nothing());
        }
        if (status == Status.GONE) {
            consumers.remove(consumer.wid);
            for (Reservation held : List.copyOf(reservations.values())) {
                if (held.consumer == consumer && held.handedOut) {
                    job(held.execution).failure = Fate.Words.GONE;
                    end(held, Outcome.RESET);
                }
            }
        }
    }

    private void sweep() {
        long silentSince = loop.now() - BEAT_US;
        for (Consumer consumer : new ArrayList<>(consumers.values())) {
            if (consumer.beatUs < silentSince) {
                LOG.info("worker {} has stopped beating", consumer.wid);
                stop(consumer, Status.GONE);
            }
            consumer.forgetSlot();
        }
        loop.in(SWEEP_US, this::sweep);
    }

    // ---- slots

    void fetch(FaktoryLink link, Command.Fetch fetch) {
        Consumer consumer = link.consumer();
        if (consumer == null) {
            link.reply(Reply.error("ERR only a worker, with a wid in its HELLO, may fetch"));
            return;
        }
        if (!consumer.runs()) {
            loop.in(FETCH_US, () -> link.reply(Reply.nothing()));
            return;
        }
        consumer.beatUs = loop.now(); // it lives
        consumer.fetched(fetch.queues(), loop.now());
        Offer[] offer = new Offer[1];
        offer[0] = new Offer(link, fetch.queues(), loop.in(FETCH_US, () -> {
            if (consumer.offers.remove(offer[0])) {
                link.reply(Reply.nothing());
            }
        }), loop.now());
        consumer.offers.add(offer[0]);
        for (Execution execution : consumer.expected) {
            Offer taken = consumer.takeOffer(job(execution).queue());
            if (taken != null) {
                consumer.expected.remove(execution);
                reserve(execution, consumer, taken);
                return;
            }
        }
        offered(consumer);
        desk.feedSoon();
    }

    private void report(Consumer consumer) {
        driver.probed(consumer.wid, true, load(consumer));
    }

    /** What a FETCH says: besides what is free, that the worker lives, and how many slots it has in all. */
    private void offered(Consumer consumer) {
        Report free = load(consumer);
        driver.probed(consumer.wid, true, Report.offered(free.freeSlots(), free.freeMemory(), free.held(),
            Math.max(1, consumer.slots())));
    }

    private static Report load(Consumer consumer) {
        return new Report(Math.max(0, consumer.offers.size() - consumer.expected.size()), Double.NaN, consumer.inHand);
    }

    private static Handover job(Execution execution) {
        return (Handover) execution.query().cargo();
    }

    // ---- what the desk asks

    @Override
    public boolean fetches(String worker, String queue) {
        Consumer consumer = consumers.get(worker);
        return consumer != null && consumer.fetches(queue, loop.now() - FETCHED_US);
    }

    @Override
    public Collection<Offered> offers() {
        Map<List<String>, Offered> found = new LinkedHashMap<>();
        for (Consumer consumer : consumers.values()) {
            if (consumer.runs()) {
                consumer.offers.forEach(offer -> found.putIfAbsent(offer.queues(),
                    new Offered(offer.queues(), offer.sinceUs())));
            }
        }
        return found.values();
    }

    @Override
    public boolean offered(List<String> queues) {
        return consumers.values().stream().anyMatch(consumer -> consumer.runs()
            && consumer.offers.stream().anyMatch(offer -> offer.queues().equals(queues)));
    }

    @Override
    public boolean offered(String queue) {
        return consumers.values().stream().anyMatch(consumer -> consumer.runs() && consumer.offers(queue));
    }

    @Override
    public boolean present(String worker) {
        return consumers.containsKey(worker);
    }

    // ---- executions

    @Override
    public void start(Execution execution) {
        Consumer consumer = consumers.get(execution.worker());
        if (consumer == null || !consumer.runs()) {
            driver.ended(execution, Execution.End.of(Outcome.FULL));
            return;
        }
        Offer offer = consumer.takeOffer(job(execution).queue());
        if (offer != null) {
            reserve(execution, consumer, offer);
            return;
        }
        consumer.expected.add(execution);
        loop.in(OFFER_US, () -> {
            if (consumer.expected.remove(execution)) {
                driver.ended(execution, Execution.End.of(Outcome.FULL));
            }
        });
    }

    /**
     * Records the reservation, then hands the job out. Guards against a restart in between: a job that the store
     * calls queued was never given to anybody, and one that it calls reserved may have run.
     */
    private void reserve(Execution execution, Consumer consumer, Offer offer) {
        Handover job = job(execution);
        Reservation held = new Reservation(execution, consumer);
        reservations.put(job.jid(), held);
        consumer.inHand += execution.query().slots();
        desk.ledger().move(job.entry, job.record().reserved(consumer.wid, loop.now() / 1000));
        store.ask(new Op.Take(job.record()), body -> handOut(held, offer, body),
            () -> handBack(held, offer, Outcome.FULL));
    }

    private void handOut(Reservation held, Offer offer, String body) {
        Handover job = job(held.execution);
        boolean wanted = held.execution.open() && reservations.get(job.jid()) == held;
        if (!wanted || body == null || !held.consumer.runs() || offer.link().isClosed()) {
            handBack(held, offer, Outcome.FULL);
            return;
        }
        counters.add(Count.FETCHES_ANSWERED);
        counters.add(Count.EXECUTIONS_WRITTEN); // the reply goes to the link whole, and here is what may have run
        held.handedOut = true;
        job.ran = true;
        job.failure = null;
        held.lapse = loop.in(job.record().facts().reserveMs() * 1000, () -> lapse(held));
        offer.link().reply(Reply.bulk(JobText.whole(body, job.record(), job.entry.enqueuedMs())));
        driver.started(held.execution);
    }

    /** The worker's slot is its own again; gives false if that was so already. */
    private boolean release(Reservation held) {
        boolean was = reservations.remove(job(held.execution).jid(), held);
        held.consumer.inHand -= was ? held.execution.query().slots() : 0;
        return was;
    }

    private void lapse(Reservation held) {
        job(held.execution).failure = Fate.Words.LAPSED;
        end(held, Outcome.RESET);
    }

    /** A worker tells that it needs longer, up to this time; gives false if it does not have the job. */
    boolean extend(Consumer by, String jid, long untilMs) {
        Reservation held = reservations.get(jid);
        if (held == null || held.consumer != by || !held.handedOut) {
            return false;
        }
        held.lapse.cancel();
        held.lapse = loop.at(untilMs * 1000, () -> lapse(held));
        return true;
    }

    /** The job has not left: its slot is offered again, and the module may place it elsewhere. */
    private void handBack(Reservation held, Offer offer, Outcome outcome) {
        Handover job = job(held.execution);
        if (release(held) && held.execution.open()) {
            desk.unreserve(job);
        }
        if (!offer.link().isClosed()) {
            fetch(offer.link(), new Command.Fetch(offer.queues()));
        }
        driver.ended(held.execution, Execution.End.of(outcome));
    }

    /** Nothing can call a job back from a worker; what it still says of it comes late. */
    @Override
    public void cancel(Execution execution) {
        Consumer consumer = consumers.get(execution.worker());
        if (consumer != null) {
            consumer.expected.remove(execution);
        }
        Reservation held = reservations.get(execution.query().id());
        if (held != null && held.execution == execution) {
            held.lapse.cancel();
            release(held);
        }
    }

    private void end(Reservation held, Outcome outcome) {
        held.lapse.cancel();
        if (release(held)) {
            // no report goes with it: the slot is free once its worker fetches again, and not before
            driver.ended(held.execution, new Execution.End(outcome, null, ""));
        }
    }

    /**
     * A worker tells how a job ended; gives false if the job is not, or no longer, in this worker's hand.
     *
     * @param how  how it failed; null if it was done
     * @param told hears once the word is safe: null, or an error
     */
    boolean reported(Consumer by, String jid, Fate.Words how, java.util.function.Consumer<String> told) {
        Reservation held = reservations.get(jid);
        if (held == null || held.consumer != by || !held.handedOut) {
            return false;
        }
        Handover job = job(held.execution);
        job.failure = how;
        job.teller = told;
        end(held, how == null ? Outcome.SERVED : Outcome.ERROR);
        if (job.teller != null) { // the module goes on with it, so that there is nothing to be written yet
            job.teller = null;
            told.accept(null);
        }
        return true;
    }

    /** A FETCH is as good as a probe: there is nothing else to ask a worker. */
    @Override
    public void probe(String worker) {
        loop.execute(() -> driver.probed(worker, false, null));
    }

    /** Workers tell of themselves; there is no list to ask for. */
    @Override
    public void watch() { }
}
