package damsonslip.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.LinkedHashMap;
import java.util.Map;

/** The TRACK command: the state of jobs and their reported progress. Confined to the event loop. */
final class JobTracker {
    /**
     * The maximum number of jobs whose progress is held in memory; the oldest entries are evicted.
     */
    private static final int MAX_PROGRESS_ENTRIES = 10_000;

    private static final Progress NO_PROGRESS = new Progress(0, "", 0);

    private record Progress(int percent, String description, long atMs) {}

    private final AsyncStore store;
    private final JobLifecycle lifecycle;

    private final Map<String, Progress> progress =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Progress> eldest) {
                    return size() > MAX_PROGRESS_ENTRIES;
                }
            };

    JobTracker(AsyncStore store, JobLifecycle lifecycle) {
        this.store = store;
        this.lifecycle = lifecycle;
    }

    /** Handles TRACK GET, whose reply is the job's state and progress as JSON. */
    void get(FaktoryConnection connection, String jid) {
        JobEntry open = lifecycle.jobTable().get(jid);
        if (open != null) {
            connection.reply(Reply.bulk(describe(jid, open.record())));
            return;
        }
        store.submit(
                new StoreOperation.Get(jid),
                record -> connection.reply(Reply.bulk(describe(jid, record))),
                () -> connection.reply(Reply.error(CommandError.error("the store is down"))));
    }

    /** Stores the progress that TRACK SET reports. */
    void set(Command.TrackSet set) {
        progress.put(set.jid(), new Progress(set.percent(), set.description(), lifecycle.nowMs()));
    }

    private String describe(String jid, JobRecord record) {
        Progress reported = progress.getOrDefault(jid, NO_PROGRESS);
        boolean ended = record != null && !record.detail().isEmpty();
        ObjectNode tracked = Json.MAPPER.createObjectNode();
        tracked.put("jid", jid)
                .put("state", record == null ? "unknown" : stateName(record.state()))
                .put("percent", reported.percent())
                .put("desc", ended ? record.detail() : reported.description())
                .put("updated_at", record == null ? "" : updatedAt(record, reported));
        return tracked.toString();
    }

    private static String updatedAt(JobRecord record, Progress reported) {
        return Json.formatTime(Math.max(reported.atMs(), record.updatedMs()));
    }

    /** Returns the name of the state in Faktory's protocol. */
    private static String stateName(JobRecord.State state) {
        return switch (state) {
            case QUEUED, SCHEDULED -> "enqueued";
            case RESERVED -> "working";
            case SUCCESS -> "success";
            case REJECTED, FAILED, RETRY -> "failed";
            case DEAD -> "dead";
            case DISCARDED -> "discarded";
        };
    }
}
