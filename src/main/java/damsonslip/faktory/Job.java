package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.core.Query;
import damsonslip.settings.Site;
import java.time.Instant;
import java.time.format.DateTimeParseException;

/**
 * A pushed job, decoded once.
 *
 * @param jid        its id
 * @param queue      the queue that workers fetch it from
 * @param jobClass   the index of its class
 * @param deadlineMs when nobody waits for it any more, in Unix time
 * @param reserveMs  how long a worker may keep it without a word
 * @param runs       how often it may run at the most, by its retry count
 * @param slots      the slots it takes
 * @param json       the job as it was pushed, which is what workers get
 */
record Job(String jid, String queue, int jobClass, long deadlineMs, long reserveMs, int runs, int slots, String json)
    implements Query.Cargo {
    private static final int DEFAULT_RESERVE_S = 1800;
    private static final int DEFAULT_RETRY = 25;
    private static final int SHORTEST_ID = 8;
    private static final int LONGEST_ID = 256;

    /**
     * Reads a job; what it says about itself in {@code custom} (class, deadline, key, slots) decides how it is
     * treated. A deadline is an instant as text, or seconds from now as a number.
     */
    static Job read(JsonNode job, Site site, long nowMs) throws Command.Malformed {
        String jid = job.path("jid").asText("");
        if (jid.length() < SHORTEST_ID || jid.length() > LONGEST_ID || jid.contains(" ")) {
            throw new Command.Malformed("jid must have 8 to 256 characters");
        }
        if (job.path("jobtype").asText("").isEmpty()) {
            throw new Command.Malformed("jobtype is missing");
        }
        if (!job.path("args").isArray()) {
            throw new Command.Malformed("args must be an array");
        }
        if (!job.path("at").asText("").isEmpty()) {
            throw new Command.Malformed("at: jobs for later are not taken");
        }
        JsonNode custom = job.path("custom");
        String name = custom.path("class").asText("");
        int jobClass = site.classNames().indexOf(name);
        if (jobClass < 0) {
            throw new Command.Malformed("custom.class: unknown class: " + name);
        }
        int retry = job.path("retry").asInt(DEFAULT_RETRY);
        long reserveS = Math.max(1, job.path("reserve_for").asInt(DEFAULT_RESERVE_S));
        return new Job(jid, job.path("queue").asText("default"), jobClass,
            deadline(custom.path("deadline"), nowMs, nowMs + site.deadlineUs(jobClass) / 1000), reserveS * 1000,
            Math.max(0, retry) + 1, Math.max(1, custom.path("slots").asInt(1)), job.toString());
    }

    /** Reads a job back from the store, whose deadline is set already. */
    static Job stored(String json, Site site, long deadlineMs) throws Command.Malformed {
        try {
            Job job = read(Command.JSON.readTree(json), site, deadlineMs);
            return new Job(job.jid, job.queue, job.jobClass, deadlineMs, job.reserveMs, job.runs, job.slots, json);
        } catch (JsonProcessingException e) {
            throw new Command.Malformed("not JSON");
        }
    }

    private static long deadline(JsonNode value, long nowMs, long fallback) throws Command.Malformed {
        if (value.isNumber() && value.asDouble() >= 0) {
            return nowMs + Math.round(Math.min(value.asDouble(), 86_400) * 1000);
        }
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        try {
            return Instant.parse(value.asText()).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new Command.Malformed("custom.deadline: neither an instant nor seconds");
        }
    }
}
