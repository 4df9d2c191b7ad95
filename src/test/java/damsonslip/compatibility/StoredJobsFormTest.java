package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The program writes jobs, batches and paused queues to the store in the saved format. What it
 * writes in a run of this test is left in {@code target}.
 */
class StoredJobsFormTest {
    static final Path SAVED = Path.of("src/test/resources/compatibility/stored/jobs.txt");
    private static final Path WRITTEN = Path.of("target/compatibility/stored/jobs.txt");

    @TempDir Path directory;

    @Test
    void writesEveryEntryInItsSavedForm() throws Exception {
        List<List<String>> entries = StoredJobsScenario.run(directory);
        StoredEntries.write(WRITTEN, entries);
        String saved = StoredEntries.masked(StoredEntries.read(SAVED));
        assertEquals(saved, StoredEntries.masked(entries));
    }
}
