package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A line that a producer or a worker sends, decoded once. */
public sealed interface Command {
    /** Words of an unknown command that are shown again. */
    int MAX_ECHOED_CHARACTERS = 20;

    /**
     * The official clients' bulk pushes hold a thousand; more in one line keeps everybody else
     * waiting.
     */
    int MAX_BULK_JOBS = 5_000;

    /**
     * The first line of every connection; {@code wid} is empty for a producer, {@code process}
     * tells restarts apart.
     */
    record Hello(int version, String wid, String process, String passwordHash, List<String> labels)
            implements Command {}

    /**
     * Hands jobs in; {@code bulk} tells that there may be several, and that each has its own
     * answer.
     */
    record Push(List<JsonNode> jobs, boolean bulk) implements Command {}

    /** A worker offers a slot to the first of these queues that has a job. */
    record Fetch(List<String> queues) implements Command {}

    /** A worker has done a job. */
    record Ack(String jid) implements Command {}

    /** A worker has failed at a job; the words are its own. */
    record Fail(String jid, String type, String message, List<String> backtrace)
            implements Command {}

    /**
     * A worker lives; {@code state} is what it says of itself, {@code rssKb} its memory, 0 if it
     * does not say.
     */
    record Heartbeat(String wid, String state, long rssKb) implements Command {}

    /** Asks how far a job is. */
    record TrackGet(String jid) implements Command {}

    /** A worker tells how far a job is; {@code reserveUntilMs} asks for more time, 0 does not. */
    record TrackSet(String jid, int percent, String description, long reserveUntilMs)
            implements Command {}

    /** Asks how the server stands. */
    record Info() implements Command {}

    /** The peer leaves. */
    record End() implements Command {}

    /** Forgets everything that waits. */
    record Flush() implements Command {}

    /** An operator's change of a set of jobs. */
    record Mutate(Mutate.Verb verb, Target target, Filter filter) implements Command {
        /** What becomes of them. */
        public enum Verb {
            CLEAR,
            KILL,
            DISCARD,
            REQUEUE
        }

        /** Which set. */
        public enum Target {
            SCHEDULED,
            RETRIES,
            DEAD
        }

        /**
         * Which jobs of it; what is empty asks for nothing. {@code glob} goes over the whole job's
         * text.
         */
        public record Filter(String jobtype, List<String> jids, String glob) {}
    }

    /** An operator's change of queues; {@code names} may hold a star for all. */
    record Queue(Queue.Verb verb, List<String> names) implements Command {
        /** What becomes of them. */
        public enum Verb {
            PAUSE,
            RESUME,
            REMOVE
        }
    }

    /** A new batch: its callbacks as jobs, each null where there is none. */
    record BatchNew(String parent, String description, JsonNode success, JsonNode complete)
            implements Command {}

    /** Opens a batch for further jobs. */
    record BatchOpen(String bid) implements Command {}

    /** A batch's creator is done with pushing. */
    record BatchCommit(String bid) implements Command {}

    /** Asks how a batch stands. */
    record BatchStatus(String bid) implements Command {}

    static Command decode(String line) throws MalformedCommandException {
        int space = line.indexOf(' ');
        String verb = (space < 0 ? line : line.substring(0, space)).toUpperCase(Locale.ROOT);
        String rest = space < 0 ? "" : line.substring(space + 1).trim();
        return switch (verb) {
            case "HELLO" -> hello(object(rest));
            case "PUSH" -> new Push(List.of(object(rest)), false);
            case "PUSHB" -> new Push(array(rest), true);
            case "FETCH" ->
                    new Fetch(rest.isEmpty() ? List.of("default") : List.of(rest.split("\\s+")));
            case "ACK" -> new Ack(Json.requiredText(object(rest), "jid"));
            case "FAIL" -> fail(object(rest));
            case "BEAT" -> beat(object(rest));
            case "TRACK" -> track(rest);
            case "INFO" -> new Info();
            case "END" -> new End();
            case "FLUSH" -> new Flush();
            case "MUTATE" -> mutate(object(rest));
            case "QUEUE" -> queue(rest);
            case "BATCH" -> batch(rest);
            default ->
                    throw new MalformedCommandException(
                            "unknown command "
                                    + verb.substring(
                                            0, Math.min(MAX_ECHOED_CHARACTERS, verb.length())));
        };
    }

    private static Hello hello(JsonNode hello) {
        List<String> labels = new ArrayList<>();
        hello.path("labels").forEach(label -> labels.add(label.asText()));
        return new Hello(
                hello.path("v").asInt(0),
                hello.path("wid").asText(""),
                hello.path("hostname").asText("") + ":" + hello.path("pid").asText(""),
                hello.path("pwdhash").asText(""),
                labels);
    }

    private static Fail fail(JsonNode failure) throws MalformedCommandException {
        List<String> backtrace = new ArrayList<>();
        failure.path("backtrace").forEach(line -> backtrace.add(line.asText()));
        return new Fail(
                Json.requiredText(failure, "jid"),
                failure.path("errtype").asText(""),
                failure.path("message").asText(""),
                backtrace);
    }

    private static Heartbeat beat(JsonNode beat) throws MalformedCommandException {
        return new Heartbeat(
                Json.requiredText(beat, "wid"),
                beat.path("current_state").asText(""),
                beat.path("rss_kb").asLong(0));
    }

    private static Command track(String rest) throws MalformedCommandException {
        String[] words = rest.split("\\s+", 2);
        if (words.length == 2 && words[0].equalsIgnoreCase("GET")) {
            return new TrackGet(words[1]);
        }
        if (words.length == 2 && words[0].equalsIgnoreCase("SET")) {
            JsonNode set = object(words[1]);
            String until = Json.text(set, "reserve_until", "");
            return new TrackSet(
                    Json.requiredText(set, "jid"),
                    Json.integer(set, "percent", 0, 0, 100),
                    Json.text(set, "desc", ""),
                    until.isEmpty() ? 0 : Json.time(until, "reserve_until"));
        }
        throw new MalformedCommandException("TRACK takes GET jid, or SET and an object");
    }

    private static Mutate mutate(JsonNode change) throws MalformedCommandException {
        Mutate.Verb verb = constant(Mutate.Verb.class, Json.requiredText(change, "cmd"), "MUTATE");
        Mutate.Target target =
                constant(Mutate.Target.class, Json.requiredText(change, "target"), "target");
        JsonNode filter = change.path("filter");
        List<String> jids = new ArrayList<>();
        for (JsonNode jid : filter.path("jids")) {
            jids.add(jid.asText());
        }
        return new Mutate(
                verb,
                target,
                new Mutate.Filter(
                        Json.text(filter, "jobtype", ""), jids, Json.text(filter, "regexp", "")));
    }

    private static Queue queue(String rest) throws MalformedCommandException {
        String[] words = rest.split("\\s+");
        if (words.length < 2) {
            throw new MalformedCommandException("QUEUE takes PAUSE, RESUME or REMOVE and names");
        }
        return new Queue(
                constant(Queue.Verb.class, words[0], "QUEUE"),
                List.of(words).subList(1, words.length));
    }

    private static Command batch(String rest) throws MalformedCommandException {
        String[] words = rest.split("\\s+", 2);
        if (words.length < 2) {
            throw new MalformedCommandException(
                    "BATCH takes NEW, OPEN, COMMIT or STATUS and what it concerns");
        }
        return switch (words[0].toUpperCase(Locale.ROOT)) {
            case "NEW" -> {
                JsonNode fresh = object(words[1]);
                yield new BatchNew(
                        Json.text(fresh, "parent_bid", ""),
                        Json.text(fresh, "description", ""),
                        callback(fresh, "success"),
                        callback(fresh, "complete"));
            }
            case "OPEN" -> new BatchOpen(words[1]);
            case "COMMIT" -> new BatchCommit(words[1]);
            case "STATUS" -> new BatchStatus(words[1]);
            default ->
                    throw new MalformedCommandException(
                            "unknown command BATCH "
                                    + words[0].substring(
                                            0, Math.min(MAX_ECHOED_CHARACTERS, words[0].length())));
        };
    }

    private static JsonNode callback(JsonNode batch, String name) throws MalformedCommandException {
        JsonNode job = batch.path(name);
        if (job.isMissingNode() || job.isNull()) {
            return null;
        }
        if (!job.isObject()) {
            throw new MalformedCommandException(name + ": not a job");
        }
        return job;
    }

    private static <E extends Enum<E>> E constant(Class<E> of, String word, String what)
            throws MalformedCommandException {
        for (E each : of.getEnumConstants()) {
            if (each.name().equalsIgnoreCase(word)) {
                return each;
            }
        }
        throw new MalformedCommandException(
                what
                        + ": unknown: "
                        + word.substring(0, Math.min(MAX_ECHOED_CHARACTERS, word.length())));
    }

    private static JsonNode object(String text) throws MalformedCommandException {
        JsonNode node = Json.read(text);
        if (!node.isObject()) {
            throw new MalformedCommandException("not a JSON object");
        }
        return node;
    }

    private static List<JsonNode> array(String text) throws MalformedCommandException {
        JsonNode node = Json.read(text);
        if (!node.isArray()) {
            throw new MalformedCommandException("not a JSON array");
        }
        if (node.size() > MAX_BULK_JOBS) {
            throw new MalformedCommandException(
                    "more than " + MAX_BULK_JOBS + " jobs at once; push them in parts");
        }
        List<JsonNode> entries = new ArrayList<>(node.size());
        node.forEach(entries::add);
        return entries;
    }
}
