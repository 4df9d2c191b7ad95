package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.Dispatch.Effect;
import damsonslip.core.Answer;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.core.Query;
import damsonslip.settings.Site;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The client side: producers that push, and the one final state of each job, which they may track. */
final class Producers {
    private static final Logger LOG = LoggerFactory.getLogger(Producers.class);
    private static final long STORE_RETRY_US = 500_000;

    private final Loop loop;
    private final Site site;
    private final Driver driver;
    private final AsyncStore store;
    private final Phase phase;
    private final Counters counters;
    /** Jobs that were with a worker when the scheduler went down: they may have run, and may yet be told of. */
    private final Map<String, JobRecord> orphans = new HashMap<>();

    Producers(Loop loop, Site site, Driver driver, AsyncStore store, Phase phase, Counters counters) {
        this.loop = loop;
        this.site = site;
        this.driver = driver;
        this.store = store;
        this.phase = phase;
        this.counters = counters;
    }

    // ---- PUSH

    void push(FaktoryLink link, Command.Push push) {
        if (!push.bulk()) {
            push(push.jobs().get(0), error -> link.reply(error == null ? Reply.ok() : Reply.error(error)));
            return;
        }
        ObjectNode errors = Command.JSON.createObjectNode();
        int[] left = {push.jobs().size()};
        if (left[0] == 0) {
            link.reply(Reply.bulk("{}"));
        }
        for (JsonNode job : push.jobs()) {
            push(job, error -> {
                if (error != null) {
                    errors.put(job.path("jid").asText(""), error);
                }
                if (--left[0] == 0) {
                    link.reply(Reply.bulk(errors.toString()));
                }
            });
        }
    }

    /** Takes a job in; tells what is wrong with it, or null. */
    private void push(JsonNode pushed, Consumer<String> then) {
        if (phase.atLeast(State.FINISHING)) {
            then.accept("SHUTDOWN this scheduler is going away");
            return;
        }
        long nowMs = loop.now() / 1000;
        Job job;
        try {
            job = Job.read(pushed, site, nowMs);
        } catch (Command.Malformed e) {
            counters.add(Count.QUERIES_BAD);
            then.accept("MALFORMED " + e.getMessage());
            return;
        }
        JobRecord fresh = new JobRecord(job.jid(), JobRecord.State.QUEUED, job.json(), job.deadlineMs(), "", "", nowMs);
        store.ask(s -> {
            JobRecord before = s.add(fresh);
            if (before != null && before.state() == JobRecord.State.REFUSED) {
                s.put(fresh); // a refusal promised that trying again does no harm
                return null;
            }
            return before;
        }, before -> {
            if (before != null || driver.holds(job.jid())) {
                counters.add(Count.PUSHES_REPEATED); // guards against a second run by a producer that lost the answer
                then.accept(null);
                return;
            }
            // a refusal at the door is told there; any later end is for those who track the job
            then.accept(take(job, fresh));
        }, () -> then.accept("ERR the store is down and the job was not taken; push it again"));
    }

    /** Gives the job to the core; tells a refusal that came at once, or null. */
    private String take(Job job, JobRecord record) {
        String[] refused = new String[1];
        Query query = new Query(job.jid(), job.jobClass(), job.deadlineMs() * 1000, job.slots(), 0, null,
            job.runs(), job);
        driver.take(query, answer -> {
            JobRecord.State state = switch (answer.kind()) {
                case SERVED -> JobRecord.State.SUCCESS;
                case THROTTLED -> JobRecord.State.REFUSED;
                case FAILED -> JobRecord.State.FAILED;
            };
            String words = words(answer);
            refused[0] = answer.kind() == Answer.Kind.THROTTLED ? "ERR " + words : null;
            store.keep(record.to(state, "", words, loop.now() / 1000));
        });
        return refused[0];
    }

    private static String words(Answer answer) {
        return switch (answer.kind()) {
            case SERVED -> "";
            case THROTTLED -> answer.retryAfterUs() == 0 ? "throttled"
                : String.format(Locale.ROOT, "throttled, retry after %.3f s", answer.retryAfterUs() / 1e6);
            case FAILED -> answer.late() ? "out of time" : "failed";
        };
    }

    // ---- TRACK

    void track(FaktoryLink link, String jid) {
        store.ask(s -> s.get(jid), record -> {
            ObjectNode told = Command.JSON.createObjectNode().put("jid", jid);
            told.put("state", record == null ? "unknown" : switch (record.state()) {
                case QUEUED -> "enqueued";
                case RESERVED -> "working";
                case SUCCESS -> "success";
                case REFUSED, FAILED -> "failed";
            });
            told.put("desc", record == null ? "" : record.detail());
            told.put("updated_at", record == null ? "" : Instant.ofEpochMilli(record.updatedMs()).toString());
            link.reply(Reply.bulk(told.toString()));
        }, () -> link.reply(Reply.error("ERR the store is down")));
    }

    // ---- after a restart

    /** Takes up what the store holds from before; until the store answers, nothing is taken in anyway. */
    void resume() {
        store.ask(s -> s.unresolved(), this::resume, () -> loop.in(STORE_RETRY_US, this::resume));
    }

    private void resume(List<JobRecord> records) {
        for (JobRecord record : records) {
            try {
                resume(record, Job.stored(record.job(), site, record.deadlineMs()));
            } catch (Command.Malformed e) {
                LOG.warn("job {} from the store cannot be taken up: {}", record.id(), e.getMessage());
                store.keep(record.to(JobRecord.State.FAILED, "", e.getMessage(), loop.now() / 1000));
            }
        }
        LOG.info("{} jobs taken up from the store", records.size());
    }

    /**
     * Guards against a second run: a job that was reserved may have run, so unless its class may be repeated it
     * only waits for its worker's word, until its time is up.
     */
    private void resume(JobRecord record, Job job) {
        boolean mayRepeat = site.settings().classes().get(job.jobClass()).effect() == Effect.SAFE;
        if (driver.holds(job.jid())) {
            return;
        }
        if (record.state() == JobRecord.State.QUEUED || mayRepeat) {
            take(job, record);
            return;
        }
        counters.add(Count.QUERIES_TAKEN);
        orphans.put(record.id(), record);
        loop.at(job.deadlineMs() * 1000, () -> settle(record.worker(), record.id(), JobRecord.State.FAILED,
            "it may have run before a restart"));
    }

    /** A worker's word, or the lack of it, on a job from before the restart. */
    boolean settle(String worker, String jid, JobRecord.State state, String words) {
        JobRecord orphan = orphans.get(jid);
        if (orphan == null || !orphan.worker().equals(worker)) {
            return false;
        }
        orphans.remove(jid);
        counters.add(state == JobRecord.State.SUCCESS ? Count.ANSWERS_SERVED : Count.ANSWERS_FAILED);
        store.keep(orphan.to(state, worker, words, loop.now() / 1000));
        return true;
    }
}
