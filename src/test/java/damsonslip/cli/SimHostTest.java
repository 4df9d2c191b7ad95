package damsonslip.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The simulator's protocol over streams: framing, values and malformed input. */
class SimHostTest {
    private static final String CONF =
            "{\"instances\":1,\"slot_no\":0,\"zone\":0,\"azs\":[\"z\"],\"shapes\":[\"k\"],"
                + "\"novel\":{\"x\":[1,2]},\"lanes\":[{\"aim_s\":0.2,\"semantics\":\"once\",\"value\":1.0}],"
                + "\"limits\":{\"send_cap\":3},\"guarantees\":{\"cold_share\":0.5,\"cold_s\":5,\"fall_multiple\":3,"
                + "\"fall_s\":1},\"tick_s\":0.001}";
    private static final String BEGIN = "{\"cmd\":\"begin_batch\",\"ts_s\":8.412251}\n";
    private static final String CREATE =
            "{\"cmd\":\"create\",\"dispatcher\":3,\"prng\":5,\"conf\":" + CONF + "}\n";
    private static final String LIST =
            "{\"cmd\":\"sync\",\"dispatcher\":3,\"mode\":\"Persisted\",\"seq_no\":1,\"items\":[{\"pack\":0,\"since_s\":null,\"locality\":0,\"size\":1,\"class_of_host\":0,\"status\":\"Running\",\"runner\":\"runner_a\"}]}\n";
    private static final String JOB =
            "{\"cmd\":\"job_in\",\"dispatcher\":3,\"op_id\":\"8e29c4da5d3a91c4\",\"lane\":0,\"client_group\":null,\"route_key\":4569004829183723,\"drop_dead_s\":9.000123,\"novel\":[{}]}\n";
    private static final String END = "{\"cmd\":\"end\"}\n";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String input, String... args) {
        return Main.run(
                args,
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private int runSimHost(String input) {
        return run(input, "simhost");
    }

    private String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void answersEmptyBatchesAndSucceedsAtEndOfInput() {
        assertEquals(0, runSimHost(BEGIN + END + BEGIN + END));
        assertEquals("{\"cmd\":\"done\"}\n{\"cmd\":\"done\"}\n", out());
        assertEquals("", err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void placesJobWithDeadlineExactToTheMicrosecond() {
        assertEquals(0, runSimHost(BEGIN + CREATE + LIST + JOB + END));
        assertTrue(
                out().contains(
                                "{\"cmd\":\"place\",\"dispatcher\":3,\"op_id\":\"8e29c4da5d3a91c4\",\"runner\":\"runner_a\",\"try_for_s\":0.000000}\n"),
                out());
        assertTrue(out().contains("\"moment_s\":8.999123"), out());
        assertTrue(out().endsWith("{\"cmd\":\"done\"}\n"));
    }

    @Test
    void recreatesKilledInstanceInTheSameBatch() {
        String kill = "{\"cmd\":\"kill\",\"dispatcher\":3}\n";
        assertEquals(0, runSimHost(BEGIN + CREATE + LIST + kill + CREATE + LIST + JOB + END));
        assertEquals(2, out().split("\"cmd\":\"place\"", -1).length, "placed once: " + out());
    }

    @Test
    void ignoresEventsForUnknownInstancesAndJobs() {
        String unknown =
                "{\"cmd\":\"result\",\"dispatcher\":9,\"op_id\":\"00\",\"round_no\":0,\"runner\":\"r\",\"reason\":\"Ok\",\"cost_time_s\":1,\"closed\":true,\"remark\":null,\"load\":null}\n"
                    + "{\"cmd\":\"memo\",\"dispatcher\":3,\"src\":1,\"octets\":\"00\"}\n"
                    + "{\"cmd\":\"vanished\",\"dispatcher\":3,\"op_id\":\"00\"}\n"
                    + "{\"cmd\":\"deadline_hit\",\"dispatcher\":3,\"label\":\"j:00\"}\n";
        assertEquals(0, runSimHost(BEGIN + CREATE + LIST + unknown + END));
        assertFalse(out().contains("internal_error"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "not json|line 2",
                "{\"cmd\":\"job_in\",\"dispatcher\":3}|line 2: lacks op_id",
                "{\"dispatcher\":3}|line 2: lacks cmd",
                "{\"cmd\":\"jump\",\"dispatcher\":3}|line 2: unknown cmd: jump",
                "{\"cmd\":\"vanished\",\"op_id\":\"a\"}|line 2: lacks dispatcher",
                "{\"cmd\":\"create\",\"dispatcher\":1,\"prng\":1,\"conf\":{}}|classes: there are"
                        + " none",
                "[1]|line 2: not a JSON object"
            })
    void reportsMalformedInputInOneLine(String line, String message) {
        assertEquals(1, runSimHost(BEGIN + line + "\n" + END));
        String errors = err.toString(StandardCharsets.UTF_8);
        assertTrue(errors.contains(message), errors);
        assertEquals(1, errors.lines().count(), errors);
        assertEquals("", out());
    }

    @Test
    void namesInvalidSettings() {
        assertEquals(1, runSimHost(BEGIN + CREATE.replace("\"aim_s\":0.2", "\"aim_s\":-1") + END));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("settings: aim: -1000000"));
    }

    @Test
    void printsUsageOnWrongArguments() {
        assertEquals(2, run(""));
        assertEquals(2, run("", "simulate"));
        assertTrue(err.toString(StandardCharsets.UTF_8).startsWith("usage: "));
    }
}
