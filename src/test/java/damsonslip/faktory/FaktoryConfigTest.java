package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.config.ConfigurationException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the reading of the operator's file: its routes, and the one-line errors for invalid
 * settings.
 */
class FaktoryConfigTest {
    @TempDir Path dir;

    private FaktoryConfig read(String target, String replacement) throws Exception {
        String text = Files.readString(Path.of("deploy/faktory.toml"));
        assertTrue(text.contains(target), target);
        return FaktoryConfig.read(
                Files.writeString(dir.resolve("f.toml"), text.replace(target, replacement))
                        .toString());
    }

    @Test
    void selectsClassByJobThenFirstMatchingRouteThenDefault() throws Exception {
        FaktoryConfig config = read("a", "a");
        assertEquals(0, config.routes().classOf("", "status", "any"));
        assertEquals(
                0, config.routes().classOf("", "status", "ApplyNow"), "the first matching route");
        assertEquals(2, config.routes().classOf("", "default", "ApplyNow"));
        assertEquals(4, config.routes().classOf("", "default", "Other"), "the default class");
        assertEquals(3, config.routes().classOf("offer-reply", "status", "any"));
        assertEquals(-1, config.routes().classOf("no-such", "status", "any"));
        assertEquals(
                -1,
                read("default_class = \"background\"", "")
                        .routes()
                        .classOf("", "default", "Other"));
    }

    @ParameterizedTest
    @CsvSource({
        "class = \"status-read\",class = \"nothing\",route: class: no class of this name: nothing",
        "default_class = \"background\",default_class = \"none\",jobs: default_class: no class of"
                + " this name: none",
        "waiting = 200000,waiting = -1,waiting: not a whole number of 1 or more: -1",
        "longest_line = 1048576,longest_line = \"x\",longest_line: not a whole number",
        "queue_order = \"strict\",queue_order = \"any\",queue_order: neither strict nor fair: any",
        "links = 800,links = 0,links: not a whole number"
    })
    void reportsInvalidSettingInOneLine(String target, String replacement, String message) {
        ConfigurationException exception =
                assertThrows(ConfigurationException.class, () -> read(target, replacement));
        assertTrue(
                exception.getMessage().contains(message)
                        && exception.getMessage().lines().count() == 1,
                exception.getMessage());
    }
}
