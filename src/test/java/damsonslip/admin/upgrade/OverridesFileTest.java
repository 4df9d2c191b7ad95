package damsonslip.admin.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The file of worker overrides as read and written by two processes. */
class OverridesFileTest {
    @TempDir Path directory;

    @Test
    void readsOnlyWhatAnotherProcessHasWritten() throws IOException {
        OverridesFile one = new OverridesFile(directory);
        OverridesFile other = new OverridesFile(directory);
        assertEquals(Optional.empty(), one.readIfChanged(), "nothing has been written yet");
        one.write("first");
        assertEquals(Optional.empty(), one.readIfChanged(), "its own write is not reported");
        assertEquals(Optional.of("first"), other.readIfChanged());
        assertEquals(Optional.empty(), other.readIfChanged(), "the same version is reported once");
        other.write("second");
        assertEquals(Optional.of("second"), one.readIfChanged());
        assertEquals("second", Files.readString(directory.resolve("damsonslip-bans")));
    }
}
