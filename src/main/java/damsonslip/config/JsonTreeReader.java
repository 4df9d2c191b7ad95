package damsonslip.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Reads JSON text into Jackson's tree with the parser alone. Jackson's {@code ObjectMapper} would
 * make starts longer, and nothing is mapped here. Nesting depth and lengths are bounded by the
 * parser.
 */
public final class JsonTreeReader {
    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTreeReader() {}

    /** Decodes the first value; null if there is none. */
    public static JsonNode read(String text) throws JsonProcessingException {
        try (JsonParser parser = PARSERS.createParser(text)) {
            return parser.nextToken() == null ? null : value(parser);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // reading a string does no I/O
        }
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> integer(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private static JsonNode integer(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.set(name, value(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }
}
