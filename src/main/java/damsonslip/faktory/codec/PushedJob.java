package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/**
 * A pushed job, decoded once, with Faktory's meanings and defaults.
 *
 * @param jid its id
 * @param jobtype what workers know it by
 * @param queue the queue that workers fetch it from
 * @param priority 1 to 9, the highest first
 * @param retryLimit how often it may be tried again; 0 discards it on failure, -1 sends it to the
 *     dead
 * @param reservationMs how long a worker may keep it without a word
 * @param scheduledMs when it shall run, in Unix time; 0 for at once
 * @param backtraceLines lines of a failure's backtrace that are kept
 * @param custom what it says beyond the protocol's own fields
 * @param body the job as workers get it, but for what changes while it waits
 */
public record PushedJob(
        String jid,
        String jobtype,
        String queue,
        int priority,
        int retryLimit,
        long reservationMs,
        long scheduledMs,
        int backtraceLines,
        CustomOptions custom,
        String body) {
    private static final int DEFAULT_RESERVE_S = 1800;
    private static final int LONGEST_RESERVE_S = (int) TimeUnit.DAYS.toSeconds(1);
    private static final int DEFAULT_RETRY = 25;
    private static final int MOST_RETRY = 1_000_000;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int SHORTEST_ID = 8;
    private static final int LONGEST_NAME = 256;
    private static final int MOST_BACKTRACE = 50;
    private static final int MOST_SLOTS = 63;

    /**
     * What stands in {@code custom}.
     *
     * @param className the class it wants, or empty
     * @param deadlineMs when its producer gives up waiting, in Unix time; 0 if nobody waits
     * @param slots the slots it takes
     * @param expiresMs from when on it must not run any more, in Unix time; 0 for never
     * @param uniqueForMs for how long no other like it may be taken, in milliseconds; 0 for not at
     *     all
     * @param uniqueUntilStart whether that ends once a worker has it
     * @param batchId the batch it belongs to, or empty
     */
    public record CustomOptions(
            String className,
            long deadlineMs,
            int slots,
            long expiresMs,
            long uniqueForMs,
            boolean uniqueUntilStart,
            String batchId) {}

    /**
     * Reads a job.
     *
     * @param shortestReserveS a shorter {@code reserve_for} is raised to this, in seconds
     * @throws Malformed if the job cannot be taken; the message names the field
     */
    public static PushedJob decode(JsonNode job, long nowMs, int shortestReserveS)
            throws MalformedCommandException {
        if (!job.isObject()) {
            throw new MalformedCommandException("not a job");
        }
        String jid = Json.text(job, "jid", "");
        if (jid.length() < SHORTEST_ID || jid.length() > LONGEST_NAME || !plain(jid)) {
            throw new MalformedCommandException(
                    "jid must have 8 to 256 characters, without blanks");
        }
        String jobtype = Json.text(job, "jobtype", "");
        if (jobtype.isEmpty() || jobtype.length() > LONGEST_NAME) {
            throw new MalformedCommandException("jobtype is missing, or too long");
        }
        if (!job.path("args").isArray()) {
            throw new MalformedCommandException("args must be an array");
        }
        String queue = Json.text(job, "queue", "");
        queue = queue.isEmpty() ? "default" : queue;
        if (queue.length() > LONGEST_NAME || !plain(queue) || queue.equals("*")) {
            throw new MalformedCommandException("queue: not a name");
        }
        String at = Json.text(job, "at", "");
        long atMs = at.isEmpty() ? 0 : Json.parseTime(at, "at");
        atMs = atMs <= nowMs ? 0 : atMs;
        int reserveS =
                Math.max(
                        shortestReserveS,
                        Json.integer(job, "reserve_for", DEFAULT_RESERVE_S, 0, LONGEST_RESERVE_S));
        return new PushedJob(
                jid,
                jobtype,
                queue,
                Math.max(
                        1,
                        Math.min(
                                9,
                                Json.integer(
                                        job, "priority", DEFAULT_PRIORITY, 0, Integer.MAX_VALUE))),
                Json.integer(job, "retry", DEFAULT_RETRY, -1, MOST_RETRY),
                TimeUnit.SECONDS.toMillis(reserveS),
                atMs,
                Math.min(MOST_BACKTRACE, Json.integer(job, "backtrace", 0, 0, Integer.MAX_VALUE)),
                custom(job, Math.max(nowMs, atMs)),
                body(job, nowMs));
    }

    private static boolean plain(String name) {
        return name.chars().noneMatch(c -> c <= ' ' || c == 0x7f);
    }

    private static CustomOptions custom(JsonNode job, long startMs)
            throws MalformedCommandException {
        JsonNode custom = job.path("custom");
        if (!custom.isObject()) {
            return new CustomOptions("", 0, 1, 0, 0, false, "");
        }
        String until = Json.text(custom, "unique_until", "success");
        if (!until.equals("success") && !until.equals("start")) {
            throw new MalformedCommandException("custom.unique_until: neither success nor start");
        }
        return new CustomOptions(
                Json.text(custom, "class", ""),
                moment(custom, "deadline", startMs),
                Json.integer(custom, "slots", 1, 1, MOST_SLOTS),
                moment(custom, "expires_at", startMs),
                Json.integer(custom, "unique_for", 0, 0, Integer.MAX_VALUE) * 1000L,
                until.equals("start"),
                Json.text(custom, "bid", Json.text(job, "bid", "")));
    }

    /**
     * An instant as text, or seconds from when the job may run as a number; 0 where there is none.
     */
    private static long moment(JsonNode custom, String name, long startMs)
            throws MalformedCommandException {
        JsonNode value = custom.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (value.isNumber() && value.doubleValue() >= 0) {
            return startMs + Math.round(Math.min(value.doubleValue(), 86_400) * 1000);
        }
        if (!value.isTextual()) {
            throw new MalformedCommandException(
                    "custom." + name + ": neither an instant nor seconds");
        }
        return Json.parseTime(value.textValue(), "custom." + name);
    }

    /** All that was pushed, less what the server itself says about a job. */
    private static String body(JsonNode job, long nowMs) throws MalformedCommandException {
        ObjectNode body = ((ObjectNode) job).deepCopy();
        body.remove("enqueued_at");
        body.remove("failure");
        body.remove("at");
        String created = Json.text(job, "created_at", "");
        body.put("created_at", created.isEmpty() ? Json.formatTime(nowMs) : created);
        if (Json.text(job, "queue", "").isEmpty()) {
            body.put("queue", "default");
        }
        return body.toString();
    }
}
