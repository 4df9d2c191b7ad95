package damsonslip.faktory.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;

/** Reads JSON from peers that may mean harm, and keeps numbers as they were written. */
public final class Json {
    /** Deeper than any job's arguments; each level costs stack and memory. */
    private static final int DEEPEST = 200;

    /** Longer than any number that a language's own types hold. */
    private static final int LONGEST_NUMBER = 200;

    public static final ObjectMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(DEEPEST)
                                                    .maxNumberLength(LONGEST_NUMBER)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
                    .build();

    private Json() {}

    /** Decodes one value; nothing at all is null. */
    public static JsonNode read(String text) throws MalformedCommandException {
        try {
            return MAPPER.readTree(text.isEmpty() ? "null" : text);
        } catch (JsonProcessingException e) {
            String why = e.getOriginalMessage().lines().findFirst().orElse("");
            throw new MalformedCommandException(
                    "not JSON: " + why.substring(0, Math.min(120, why.length())));
        }
    }

    /** A moment in RFC 3339, with any offset and fraction, in Unix milliseconds. */
    public static long parseTime(String text, String what) throws MalformedCommandException {
        try {
            return OffsetDateTime.parse(text).toInstant().toEpochMilli();
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new MalformedCommandException(what + ": not a time in RFC 3339");
        }
    }

    public static String formatTime(long ms) {
        return Instant.ofEpochMilli(ms).toString();
    }

    /** A whole number within these bounds; absent or null gives the fallback. */
    static int integer(JsonNode node, String name, int fallback, int least, int most)
            throws MalformedCommandException {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < least
                || value.intValue() > most) {
            throw new MalformedCommandException(
                    name + ": not a whole number from " + least + " to " + most);
        }
        return value.intValue();
    }

    /** A text; absent or null gives the fallback, anything else than a text is an error. */
    static String text(JsonNode node, String name, String fallback)
            throws MalformedCommandException {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        if (!value.isTextual()) {
            throw new MalformedCommandException(name + ": not a text");
        }
        return value.textValue();
    }

    static String requiredText(JsonNode node, String name) throws MalformedCommandException {
        String value = text(node, name, "");
        if (value.isEmpty()) {
            throw new MalformedCommandException("lacks " + name);
        }
        return value;
    }
}
