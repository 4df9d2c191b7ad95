package damsonslip.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The tree is the one that the library's own mapper gives. */
class JsonTreeReaderTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":[1,-2,2147483648,99999999999999999999,1.5e3,0.1],\"b\":{\"c\":{}}}",
                "[\"x\\u00e9\\n\",true,false,null,{},[]]",
                "[[[]]]",
                "7",
                "null",
                "{\"a\":1,\"a\":2}",
                "  {\n  \"indented\" : [ 1 ,\n 2 ] }\n",
                "{} trailing"
            })
    void valuesAreAsTheMapperReadsThem(String text) throws JsonProcessingException {
        assertEquals(new ObjectMapper().readTree(text), JsonTreeReader.read(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{\"a\":}", "nul", "{a:1}", "\"open", "[1 2]"})
    void halfAValueIsNone(String text) {
        assertThrows(JsonProcessingException.class, () -> JsonTreeReader.read(text));
    }

    @Test
    void nothingIsNullAndDepthIsBounded() throws JsonProcessingException {
        assertNull(JsonTreeReader.read("  "));
        assertThrows(JsonProcessingException.class, () -> JsonTreeReader.read("[".repeat(5_000)));
    }
}
