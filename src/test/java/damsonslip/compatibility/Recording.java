package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A transcript of exchanges that is compared with a recorded one, byte for byte except for the
 * parts that a test declares to vary. Carriage returns, line feeds and backslashes are written as
 * {@code \r}, {@code \n} and {@code \\}, and each line feed also starts a new line of the
 * transcript. With the system property {@code damsonslip.wire.record} the transcript is written to
 * the test resources instead, and the test fails, so that no build passes in this mode.
 */
final class Recording {
    private static final String RECORD_PROPERTY = "damsonslip.wire.record";
    private static final String FOLDER = "compatibility/wire/";
    private static final Path SOURCES = Path.of("src/test/resources");

    private final String name;
    private final Map<Pattern, String> variableParts = new LinkedHashMap<>();
    private final StringBuilder transcript = new StringBuilder();

    /** Starts a transcript that is compared with the recorded file of this name. */
    Recording(String name) {
        this.name = name;
    }

    /** Replaces a text that differs from run to run, such as an address. */
    Recording replacing(String text, String replacement) {
        return masking(Pattern.quote(text), replacement);
    }

    /** Replaces what matches this expression; the replacement may refer to groups. */
    Recording masking(String expression, String replacement) {
        variableParts.put(Pattern.compile(expression), replacement);
        return this;
    }

    /** Adds a text under a title. */
    Recording add(String title, String text) {
        String stable = text;
        for (Map.Entry<Pattern, String> part : variableParts.entrySet()) {
            stable = part.getKey().matcher(stable).replaceAll(part.getValue());
        }
        String visible = stable.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n\n");
        transcript.append("== ").append(title).append('\n').append(visible);
        if (!visible.isEmpty() && !visible.endsWith("\n")) {
            transcript.append('\n');
        }
        return this;
    }

    /** Compares the transcript with the recorded one. */
    void verify() throws IOException {
        if (System.getProperty(RECORD_PROPERTY) != null) {
            Path file = SOURCES.resolve(FOLDER + name + ".txt");
            Files.createDirectories(file.getParent());
            Files.writeString(file, transcript);
            fail("recorded " + file + "; run the test again without -D" + RECORD_PROPERTY);
        }
        String resource = "/" + FOLDER + name + ".txt";
        try (InputStream in = Recording.class.getResourceAsStream(resource)) {
            assertNotNull(in, "no recorded transcript " + resource);
            String recorded = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(recorded, transcript.toString(), "differs from " + resource);
        }
    }
}
