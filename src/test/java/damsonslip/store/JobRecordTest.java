package damsonslip.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The stored form of job records. */
class JobRecordTest {
    private static JobRecord record(int retryLimit, long deadlineMs) {
        JobRecord.Options options =
                new JobRecord.Options(
                        "q",
                        "t",
                        "any",
                        5,
                        retryLimit,
                        60_000,
                        1,
                        deadlineMs,
                        0,
                        "",
                        "",
                        "",
                        0,
                        false,
                        2);
        return JobRecord.pushed("j", options, 0, 1_000);
    }

    @Test
    void decodesWhatItHasEncoded() throws Exception {
        JobRecord record =
                record(-1, 99)
                        .withSequence(7)
                        .reserved("w", 3)
                        .withFailure(new JobRecord.Failure(2, 5, 6, "E", "m\n", List.of("x")))
                        .withState(JobRecord.State.RETRY, 8, "why", 9);
        assertEquals(record, JobRecord.decode(record.encode()));
        JobRecord fresh = record(0, 0);
        assertEquals(fresh, JobRecord.decode(fresh.encode()));
        assertNotNull(
                assertThrows(StoreException.class, () -> JobRecord.decode("{}")).getMessage());
    }
}
