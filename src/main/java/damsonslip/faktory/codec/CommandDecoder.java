package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Decodes lines from producers, workers and operators into {@link Command}s. */
public final class CommandDecoder {
    /** Maximum number of characters of an invalid word that an error message repeats. */
    private static final int MAX_ECHOED_CHARACTERS = 20;

    /** Maximum number of jobs in one PUSHB, so that one line does not delay other connections. */
    private static final int MAX_BULK_JOBS = 5_000;

    private static final String DEFAULT_QUEUE = "default";

    private CommandDecoder() {}

    /**
     * Decodes a line.
     *
     * @throws MalformedCommandException if it is not a valid command; the message gives the reason
     *     in one line
     */
    public static Command decode(String line) throws MalformedCommandException {
        int space = line.indexOf(' ');
        String verb = (space < 0 ? line : line.substring(0, space)).toUpperCase(Locale.ROOT);
        String arguments = space < 0 ? "" : line.substring(space + 1).trim();
        return switch (verb) {
            case "HELLO" -> hello(object(arguments));
            case "PUSH" -> new Command.Push(List.of(object(arguments)), false);
            case "PUSHB" -> new Command.Push(array(arguments), true);
            case "FETCH" -> fetch(arguments);
            case "ACK" -> new Command.Ack(Json.requiredString(object(arguments), "jid"));
            case "FAIL" -> fail(object(arguments));
            case "BEAT" -> heartbeat(object(arguments));
            case "TRACK" -> track(arguments);
            case "INFO" -> new Command.Info();
            case "END" -> new Command.End();
            case "FLUSH" -> new Command.Flush();
            case "MUTATE" -> mutate(object(arguments));
            case "QUEUE" -> queue(arguments);
            case "BATCH" -> batch(arguments);
            default -> throw new MalformedCommandException("unknown command " + echo(verb));
        };
    }

    private static Command.Hello hello(JsonNode hello) {
        List<String> labels = new ArrayList<>();
        hello.path("labels").forEach(label -> labels.add(label.asText()));
        return new Command.Hello(
                hello.path("v").asInt(0),
                hello.path("wid").asText(""),
                hello.path("hostname").asText("") + ":" + hello.path("pid").asText(""),
                hello.path("pwdhash").asText(""),
                labels);
    }

    private static Command.Fetch fetch(String arguments) {
        return new Command.Fetch(
                arguments.isEmpty() ? List.of(DEFAULT_QUEUE) : List.of(arguments.split("\\s+")));
    }

    private static Command.Fail fail(JsonNode failure) throws MalformedCommandException {
        List<String> backtrace = new ArrayList<>();
        failure.path("backtrace").forEach(line -> backtrace.add(line.asText()));
        return new Command.Fail(
                Json.requiredString(failure, "jid"),
                failure.path("errtype").asText(""),
                failure.path("message").asText(""),
                backtrace);
    }

    private static Command.Heartbeat heartbeat(JsonNode heartbeat)
            throws MalformedCommandException {
        return new Command.Heartbeat(
                Json.requiredString(heartbeat, "wid"),
                heartbeat.path("current_state").asText(""),
                heartbeat.path("rss_kb").asLong(0));
    }

    private static Command track(String arguments) throws MalformedCommandException {
        String[] words = arguments.split("\\s+", 2);
        if (words.length == 2 && words[0].equalsIgnoreCase("GET")) {
            return new Command.TrackGet(words[1]);
        }
        if (words.length == 2 && words[0].equalsIgnoreCase("SET")) {
            JsonNode progress = object(words[1]);
            String reserveUntil = Json.string(progress, "reserve_until", "");
            return new Command.TrackSet(
                    Json.requiredString(progress, "jid"),
                    Json.integer(progress, "percent", 0, 0, 100),
                    Json.string(progress, "desc", ""),
                    reserveUntil.isEmpty() ? 0 : Json.parseTime(reserveUntil, "reserve_until"));
        }
        throw new MalformedCommandException("TRACK takes GET jid, or SET and an object");
    }

    private static Command.Mutate mutate(JsonNode mutation) throws MalformedCommandException {
        Command.Mutate.Verb verb =
                enumConstant(
                        Command.Mutate.Verb.class, Json.requiredString(mutation, "cmd"), "MUTATE");
        Command.Mutate.Target target =
                enumConstant(
                        Command.Mutate.Target.class,
                        Json.requiredString(mutation, "target"),
                        "target");
        JsonNode filter = mutation.path("filter");
        List<String> jids = new ArrayList<>();
        for (JsonNode jid : filter.path("jids")) {
            jids.add(jid.asText());
        }
        return new Command.Mutate(
                verb,
                target,
                new Command.Mutate.Filter(
                        Json.string(filter, "jobtype", ""),
                        jids,
                        Json.string(filter, "regexp", "")));
    }

    private static Command.Queue queue(String arguments) throws MalformedCommandException {
        String[] words = arguments.split("\\s+");
        if (words.length < 2) {
            throw new MalformedCommandException("QUEUE takes PAUSE, RESUME or REMOVE and names");
        }
        return new Command.Queue(
                enumConstant(Command.Queue.Verb.class, words[0], "QUEUE"),
                List.of(words).subList(1, words.length));
    }

    private static Command batch(String arguments) throws MalformedCommandException {
        String[] words = arguments.split("\\s+", 2);
        if (words.length < 2) {
            throw new MalformedCommandException(
                    "BATCH takes NEW, OPEN, COMMIT or STATUS and what it concerns");
        }
        return switch (words[0].toUpperCase(Locale.ROOT)) {
            case "NEW" -> newBatch(object(words[1]));
            case "OPEN" -> new Command.BatchOpen(words[1]);
            case "COMMIT" -> new Command.BatchCommit(words[1]);
            case "STATUS" -> new Command.BatchStatus(words[1]);
            default ->
                    throw new MalformedCommandException("unknown command BATCH " + echo(words[0]));
        };
    }

    private static Command.BatchNew newBatch(JsonNode batch) throws MalformedCommandException {
        return new Command.BatchNew(
                Json.string(batch, "parent_bid", ""),
                Json.string(batch, "description", ""),
                callback(batch, "success"),
                callback(batch, "complete"));
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

    private static <E extends Enum<E>> E enumConstant(Class<E> type, String word, String subject)
            throws MalformedCommandException {
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equalsIgnoreCase(word)) {
                return constant;
            }
        }
        throw new MalformedCommandException(subject + ": unknown: " + echo(word));
    }

    /** The beginning of an invalid word, for an error message. */
    private static String echo(String word) {
        return word.substring(0, Math.min(MAX_ECHOED_CHARACTERS, word.length()));
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
        List<JsonNode> elements = new ArrayList<>(node.size());
        node.forEach(elements::add);
        return elements;
    }
}
