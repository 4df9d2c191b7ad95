package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/** Decodes {@link PushedJob}s from JSON and validates their fields. Immutable. */
final class PushedJobDecoder {
    private static final String DEFAULT_QUEUE = "default";
    private static final String ALL_QUEUES = "*";
    private static final int DEFAULT_RESERVATION_S = 1800;
    private static final int MAX_RESERVATION_S = (int) TimeUnit.DAYS.toSeconds(1);
    private static final int DEFAULT_RETRY_LIMIT = 25;
    private static final int MAX_RETRY_LIMIT = 1_000_000;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_PRIORITY = 9;
    private static final int MIN_ID_LENGTH = 8;
    private static final int MAX_NAME_LENGTH = 256;
    private static final int MAX_BACKTRACE_LINES = 50;
    private static final int MAX_SLOTS = 63;
    private static final int MAX_RELATIVE_S = (int) TimeUnit.DAYS.toSeconds(1);
    private static final char DELETE_CHARACTER = 0x7f;

    private final long nowMs;
    private final int minReservationS;

    PushedJobDecoder(long nowMs, int minReservationS) {
        this.nowMs = nowMs;
        this.minReservationS = minReservationS;
    }

    PushedJob decode(JsonNode job) throws MalformedCommandException {
        if (!job.isObject()) {
            throw new MalformedCommandException("not a job");
        }
        String jid = jid(job);
        String jobtype = jobtype(job);
        if (!job.path("args").isArray()) {
            throw new MalformedCommandException("args must be an array");
        }
        String queue = queue(job);
        long scheduledMs = scheduledMs(job);
        long reservationMs = reservationMs(job);
        int priority = Json.integer(job, "priority", DEFAULT_PRIORITY, 0, Integer.MAX_VALUE);
        int retryLimit = Json.integer(job, "retry", DEFAULT_RETRY_LIMIT, -1, MAX_RETRY_LIMIT);
        int backtraceLines = Json.integer(job, "backtrace", 0, 0, Integer.MAX_VALUE);
        return new PushedJob(
                jid,
                jobtype,
                queue,
                Math.max(1, Math.min(MAX_PRIORITY, priority)),
                retryLimit,
                reservationMs,
                scheduledMs,
                Math.min(MAX_BACKTRACE_LINES, backtraceLines),
                customOptions(job, Math.max(nowMs, scheduledMs)),
                body(job));
    }

    private static String jid(JsonNode job) throws MalformedCommandException {
        String jid = Json.string(job, "jid", "");
        boolean validLength = jid.length() >= MIN_ID_LENGTH && jid.length() <= MAX_NAME_LENGTH;
        if (!validLength || hasBlanks(jid)) {
            throw new MalformedCommandException(
                    "jid must have 8 to 256 characters, without blanks");
        }
        return jid;
    }

    private static String jobtype(JsonNode job) throws MalformedCommandException {
        String jobtype = Json.string(job, "jobtype", "");
        if (jobtype.isEmpty() || jobtype.length() > MAX_NAME_LENGTH) {
            throw new MalformedCommandException("jobtype is missing, or too long");
        }
        return jobtype;
    }

    private static String queue(JsonNode job) throws MalformedCommandException {
        String name = Json.string(job, "queue", "");
        String queue = name.isEmpty() ? DEFAULT_QUEUE : name;
        if (queue.length() > MAX_NAME_LENGTH || hasBlanks(queue) || queue.equals(ALL_QUEUES)) {
            throw new MalformedCommandException("queue: not a name");
        }
        return queue;
    }

    /** Whether a name contains blanks or control characters. */
    private static boolean hasBlanks(String name) {
        return name.chars().anyMatch(c -> c <= ' ' || c == DELETE_CHARACTER);
    }

    /** When a job is to run; 0 for immediately, which includes times in the past. */
    private long scheduledMs(JsonNode job) throws MalformedCommandException {
        String at = Json.string(job, "at", "");
        long atMs = at.isEmpty() ? 0 : Json.parseTime(at, "at");
        return atMs <= nowMs ? 0 : atMs;
    }

    private long reservationMs(JsonNode job) throws MalformedCommandException {
        int reserveForS =
                Json.integer(job, "reserve_for", DEFAULT_RESERVATION_S, 0, MAX_RESERVATION_S);
        return TimeUnit.SECONDS.toMillis(Math.max(minReservationS, reserveForS));
    }

    private static PushedJob.CustomOptions customOptions(JsonNode job, long startMs)
            throws MalformedCommandException {
        JsonNode custom = job.path("custom");
        if (!custom.isObject()) {
            return PushedJob.CustomOptions.NONE;
        }
        String uniqueUntil = Json.string(custom, "unique_until", "success");
        if (!uniqueUntil.equals("success") && !uniqueUntil.equals("start")) {
            throw new MalformedCommandException("custom.unique_until: neither success nor start");
        }
        int uniqueForS = Json.integer(custom, "unique_for", 0, 0, Integer.MAX_VALUE);
        return new PushedJob.CustomOptions(
                Json.string(custom, "class", ""),
                instantMs(custom, "deadline", startMs),
                Json.integer(custom, "slots", 1, 1, MAX_SLOTS),
                instantMs(custom, "expires_at", startMs),
                TimeUnit.SECONDS.toMillis(uniqueForS),
                uniqueUntil.equals("start"),
                Json.string(custom, "bid", Json.string(job, "bid", "")));
    }

    /**
     * A point in time, given as an RFC 3339 string or as a number of seconds after the job may
     * first run; 0 if it is absent.
     */
    private static long instantMs(JsonNode custom, String name, long startMs)
            throws MalformedCommandException {
        JsonNode value = custom.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (value.isNumber() && value.doubleValue() >= 0) {
            double seconds = Math.min(value.doubleValue(), MAX_RELATIVE_S);
            return startMs + Math.round(seconds * 1000);
        }
        if (!value.isTextual()) {
            throw new MalformedCommandException(
                    "custom." + name + ": neither an instant nor seconds");
        }
        return Json.parseTime(value.textValue(), "custom." + name);
    }

    /**
     * The JSON text of a job: without the fields that the server adds later, with defaults filled
     * in.
     */
    private String body(JsonNode job) throws MalformedCommandException {
        ObjectNode body = ((ObjectNode) job).deepCopy();
        body.remove("enqueued_at");
        body.remove("failure");
        body.remove("at");
        String createdAt = Json.string(job, "created_at", "");
        body.put("created_at", createdAt.isEmpty() ? Json.formatTime(nowMs) : createdAt);
        if (Json.string(job, "queue", "").isEmpty()) {
            body.put("queue", DEFAULT_QUEUE);
        }
        return body.toString();
    }
}
