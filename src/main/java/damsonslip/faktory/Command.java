package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A line that a producer or a worker sends, decoded once. */
sealed interface Command {
    ObjectMapper JSON = new ObjectMapper();

    /** The first line of every connection; {@code wid} is empty for a producer, {@code process} tells restarts apart. */
    record Hello(int version, String wid, String process, String passwordHash, List<String> labels) implements Command { }

    /** Hands jobs in; {@code bulk} tells that there may be several, and that each has its own answer. */
    record Push(List<JsonNode> jobs, boolean bulk) implements Command { }

    record Fetch(List<String> queues) implements Command { }

    record Ack(String jid) implements Command { }

    record Fail(String jid, String type, String message) implements Command { }

    record Beat(String wid, String state) implements Command { }

    record Track(String jid) implements Command { }

    record Info() implements Command { }

    record End() implements Command { }

    /** A line that is none of these. */
    final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    static Command decode(String line) throws Malformed {
        int space = line.indexOf(' ');
        String verb = (space < 0 ? line : line.substring(0, space)).toUpperCase(Locale.ROOT);
        String rest = space < 0 ? "" : line.substring(space + 1).trim();
        return switch (verb) {
            case "HELLO" -> hello(object(rest));
            case "PUSH" -> new Push(List.of(object(rest)), false);
            case "PUSHB" -> new Push(array(rest), true);
            case "FETCH" -> new Fetch(rest.isEmpty() ? List.of("default") : List.of(rest.split("\\s+")));
            case "ACK" -> new Ack(text(object(rest), "jid"));
            case "FAIL" -> {
                JsonNode failure = object(rest);
                yield new Fail(text(failure, "jid"), failure.path("errtype").asText(""),
                    failure.path("message").asText(""));
            }
            case "BEAT" -> {
                JsonNode beat = object(rest);
                yield new Beat(beat.path("wid").asText(""), beat.path("current_state").asText(""));
            }
            case "TRACK" -> {
                String[] words = rest.split("\\s+");
                if (words.length != 2 || !words[0].equalsIgnoreCase("GET")) {
                    throw new Malformed("only TRACK GET jid is known");
                }
                yield new Track(words[1]);
            }
            case "INFO" -> new Info();
            case "END" -> new End();
            default -> throw new Malformed("unknown command " + verb.substring(0, Math.min(20, verb.length())));
        };
    }

    private static Hello hello(JsonNode hello) {
        List<String> labels = new ArrayList<>();
        hello.path("labels").forEach(label -> labels.add(label.asText()));
        return new Hello(hello.path("v").asInt(0), hello.path("wid").asText(""),
            hello.path("hostname").asText("") + ":" + hello.path("pid").asText(""), hello.path("pwdhash").asText(""),
            labels);
    }

    private static JsonNode object(String text) throws Malformed {
        JsonNode node = json(text);
        if (!node.isObject()) {
            throw new Malformed("not a JSON object");
        }
        return node;
    }

    private static List<JsonNode> array(String text) throws Malformed {
        JsonNode node = json(text);
        if (!node.isArray()) {
            throw new Malformed("not a JSON array");
        }
        List<JsonNode> entries = new ArrayList<>();
        node.forEach(entries::add);
        return entries;
    }

    private static JsonNode json(String text) throws Malformed {
        try {
            return JSON.readTree(text.isEmpty() ? "null" : text);
        } catch (JsonProcessingException e) {
            throw new Malformed("not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    private static String text(JsonNode node, String name) throws Malformed {
        String value = node.path(name).asText("");
        if (value.isEmpty()) {
            throw new Malformed("lacks " + name);
        }
        return value;
    }
}
