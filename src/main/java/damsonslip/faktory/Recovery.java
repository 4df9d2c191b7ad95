package damsonslip.faktory;

import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Loop;
import damsonslip.faktory.routes.Routes;
import damsonslip.faktory.sets.Fate;
import damsonslip.faktory.sets.Ledger;
import damsonslip.faktory.sets.Ledger.Entry;
import damsonslip.settings.Site;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.Op;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** After a start: takes up what the store holds, some at a time, so that whoever comes meanwhile is served. */
final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    private static final long AGAIN_US = 500_000;
    /** Records read in one journey, and taken up in one turn. */
    private static final int AT_ONCE = 400;

    private final Loop loop;
    private final Site site;
    private final AsyncStore store;
    private final Counters counters;
    private final Routes routes;
    private final Desk desk;
    private final Workshop batches;
    private final Runnable done;
    private int taken;

    Recovery(Loop loop, Site site, AsyncStore store, Counters counters, Routes routes, Desk desk, Workshop batches,
             Runnable done) {
        this.loop = loop;
        this.site = site;
        this.store = store;
        this.counters = counters;
        this.routes = routes;
        this.desk = desk;
        this.batches = batches;
        this.done = done;
    }

    /** Until the store answers, nothing is taken in anyway. */
    void begin() {
        store.ask(new Op.Notes(Operators.PAUSED), paused -> {
            paused.keySet().forEach(desk.ledger()::pause);
            store.ask(new Op.Notes(Workshop.NOTE), notes -> {
                batches.load(notes);
                store.ask(new Op.Open(), ids -> load(new ArrayList<>(ids), 0), this::again);
            }, this::again);
        }, this::again);
    }

    private void again() {
        loop.in(AGAIN_US, this::begin);
    }

    private void load(List<String> ids, int from) {
        if (from >= ids.size()) {
            LOG.info("{} jobs taken up from the store", taken);
            done.run();
            return;
        }
        List<String> part = ids.subList(from, Math.min(ids.size(), from + AT_ONCE));
        store.ask(new Op.Load(part), records -> {
            records.forEach(this::take);
            load(ids, from + AT_ONCE);
        }, () -> loop.in(AGAIN_US, () -> load(ids, from)));
    }

    private void take(JobRecord record) {
        Ledger ledger = desk.ledger();
        if (ledger.get(record.id()) != null) {
            return; // pushed, or settled, since the start
        }
        taken++;
        JobRecord.Facts facts = record.facts();
        int jobClass = routes.classOf(facts.className(), facts.queue(), facts.jobtype());
        if (jobClass < 0) {
            jobClass = routes.classOf("", facts.queue(), facts.jobtype()); // its class has left the operator's file
        }
        if (jobClass < 0) {
            LOG.warn("job {} from the store cannot be taken up: no class of the name {}", record.id(), facts.className());
            store.keep(record.to(JobRecord.State.FAILED, 0, "no class of the name " + facts.className(), desk.nowMs()));
            return;
        }
        switch (Fate.recovered(record, site.settings().classes().get(jobClass), desk.nowMs())) {
            case PLACE -> desk.enter(record, jobClass);
            case HAND_OVER -> desk.enter(record.queued(record.seq(), desk.nowMs()), jobClass);
            case AWAIT_WORD -> {
                counters.add(Count.QUERIES_TAKEN);
                Entry entry = ledger.add(record.state() == JobRecord.State.RESERVED ? record
                    : record.reserved(record.worker(), record.updatedMs()), jobClass);
                desk.awaitWord(entry);
            }
            case OUT_OF_TIME -> {
                Entry entry = ledger.add(record, jobClass);
                desk.moveTo(entry, record.to(JobRecord.State.FAILED, 0, "out of time", desk.nowMs()));
            }
        }
    }
}
