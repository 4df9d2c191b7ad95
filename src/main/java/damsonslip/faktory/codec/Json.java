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

/**
 * Decodes JSON from untrusted peers, within limits, and keeps numbers as they were written.
 * Thread-safe.
 */
public final class Json {
    /** Maximum nesting depth, since each level costs stack and memory. */
    private static final int MAX_DEPTH = 200;

    /** Maximum number of digits; more than the numeric types of any client's language hold. */
    private static final int MAX_NUMBER_LENGTH = 200;

    /** The mapper that enforces these limits. */
    public static final ObjectMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_DEPTH)
                                                    .maxNumberLength(MAX_NUMBER_LENGTH)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
                    .build();

    /** Maximum number of characters of the parser's message that an error message repeats. */
    private static final int MAX_REASON_CHARACTERS = 120;

    private Json() {}

    /**
     * Decodes one value; an empty text counts as null.
     *
     * @throws MalformedCommandException if the text is not JSON, or exceeds a limit
     */
    public static JsonNode read(String text) throws MalformedCommandException {
        try {
            return MAPPER.readTree(text.isEmpty() ? "null" : text);
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            int length = Math.min(MAX_REASON_CHARACTERS, reason.length());
            throw new MalformedCommandException("not JSON: " + reason.substring(0, length));
        }
    }

    /**
     * Parses a time in RFC 3339, with any offset and fraction, to milliseconds since the Unix
     * epoch.
     *
     * @param field the name of the field, for the error message
     * @throws MalformedCommandException if it is not such a time
     */
    public static long parseTime(String text, String field) throws MalformedCommandException {
        try {
            return OffsetDateTime.parse(text).toInstant().toEpochMilli();
        } catch (DateTimeParseException | ArithmeticException e) {
            throw new MalformedCommandException(field + ": not a time in RFC 3339");
        }
    }

    /** Formats milliseconds since the Unix epoch in RFC 3339. */
    public static String formatTime(long ms) {
        return Instant.ofEpochMilli(ms).toString();
    }

    /** An integer field within these bounds; the default value if it is absent or null. */
    static int integer(JsonNode node, String name, int defaultValue, int min, int max)
            throws MalformedCommandException {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < min
                || value.intValue() > max) {
            throw new MalformedCommandException(
                    name + ": not a whole number from " + min + " to " + max);
        }
        return value.intValue();
    }

    /** A string field; the default value if it is absent or null. */
    static String string(JsonNode node, String name, String defaultValue)
            throws MalformedCommandException {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isTextual()) {
            throw new MalformedCommandException(name + ": not a text");
        }
        return value.textValue();
    }

    /** A string field that must be present and not empty. */
    static String requiredString(JsonNode node, String name) throws MalformedCommandException {
        String value = string(node, name, "");
        if (value.isEmpty()) {
            throw new MalformedCommandException("lacks " + name);
        }
        return value;
    }
}
