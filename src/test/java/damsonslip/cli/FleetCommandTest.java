package damsonslip.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The report over a directory of logs: two schedulers, two workers and one request for each way in
 * which a request can end.
 */
class FleetCommandTest {
    private static final String START =
            """
            settings dispatchers=2 number=0 zone=0 atUs=36000000000 coldUs=5000000.0 fallUs=1000000 fallMultiple=2.0
            class 0 aimUs=100000 stretch=2.0 worth=3.0
            """;

    @TempDir Path dir;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... args) {
        PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
        return Main.run(args, new ByteArrayInputStream(new byte[0]), out, errors);
    }

    /** Each line is {@code milliseconds text}, or only the text for the time of the line before. */
    private void writeLog(String name, String lines) throws Exception {
        StringBuilder text = new StringBuilder("a line that is not a trace\n");
        int atMs = 0;
        for (String line : lines.split("\n", 0)) {
            if (Character.isDigit(line.charAt(0))) {
                atMs = Integer.parseInt(line.substring(0, line.indexOf(' ')));
                line = line.substring(line.indexOf(' ') + 1);
            }
            text.append(
                    String.format(
                            "%s10:00:%02d.%03d DEBUG Trace - %s%n",
                            name.equals("n1.log") ? "0.650 " : "", atMs / 1000, atMs % 1000, line));
        }
        Files.writeString(dir.resolve(name), text);
    }

    private String report() {
        assertEquals(0, run("fleet", dir.toString()), err.toString(StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void assertHasLine(String report, String pattern) {
        assertTrue(
                report.lines().anyMatch(line -> line.trim().replaceAll(" +", " ").matches(pattern)),
                pattern + "\n" + report);
    }

    @Test
    void givesEachLossOneReasonAndSumsUpSeconds() throws Exception {
        writeLog(
                "n0.log",
                START
                        + """
                        listed COMPLETE entries=2
                        worker a zone=0 kind=0 is=RUNNING startedUs=0
                        worker b zone=0 kind=0 is=RUNNING startedUs=35999000000
                        asked for the list
                        100 taken q1 class=0 slots=1
                        sent q1 n=0 to=a
                        started q1 n=0 to=a
                        200 ended q1 n=0 to=a as=SERVED
                        answered q1 as=SERVED retryUs=0
                        250 cold b partUs=300000
                        300 taken q2 class=0 slots=1
                        sent q2 n=0 to=b
                        900 started q2 n=0 to=b
                        1000 ended q2 n=0 to=b as=SERVED
                        answered q2 as=SERVED retryUs=0
                        1200 taken q3 class=0 slots=1 untilUs=36003200000
                        answered q3 as=THROTTLED retryUs=900000
                        1300 taken q4 class=0 slots=1
                        sent q4 n=0 to=a
                        started q4 n=0 to=a
                        1400 ended q4 n=0 to=a as=ERROR
                        answered q4 as=FAILED retryUs=0
                        1500 counters server_links_opened=2 probes_sent=4 server_links_closed_idle=1
                        taken q7 class=0 slots=1 untilUs=36001900000
                        1650 answered q7 as=THROTTLED retryUs=460000
                        taken q8 class=0 slots=1 untilUs=36001900000
                        1900 answered q8 as=THROTTLED retryUs=0
                        pool 0 rate=10 ms=100 share=2 free=50 has=a,b
                        2000 taken q5 class=0 slots=1
                        sent q5 n=0 to=a
                        """
                        + START.replace("settings", "3000 settings"));
        writeLog(
                "n1.log",
                START
                        + """
                        250 cold b partUs=200000
                        900 listed FAILED entries=0
                        1500 counters server_links_opened=1
                        pool 0 rate=16 ms=100 share=3 free=50 has=a
                        2500 taken q6 class=0 slots=1
                        2700 sent q6 n=0 to=a
                        started q6 n=0 to=a
                        2800 ended q6 n=0 to=a as=SERVED
                        answered q6 as=SERVED retryUs=0
                        """);
        String report = report();
        assertHasLine(report, "2 schedulers, 2 workers, 4 seconds");
        // 2 taken, 1 served, 2 sent, one list call, which failed, and one sent to a cold worker
        assertHasLine(report, "0 2 0\\.0 0 2 1 0 0 0 0 0 0 0 2 0 0 0 0 0 0 1 1 1");
        // q2 served late, q3 rejected, q7 given up, q8 out of time, q4 failed after an error;
        // 3 connections opened, 1 closed when idle, 4 probes
        assertHasLine(report, "1 2 1\\.5 0 4 1 1 1 1 1 0 1 0 1 0 0 1 3 1 4 0 0 0");
        // q3 and q7 are told to retry within the same tenth of a second
        assertHasLine(report, "2 2 0\\.0 2 2 1 0 0 0 0 0 0 2 .*");
        assertHasLine(report, "1 \\[0 alike 0\\.50 rate 10-16 share 2-3\\]");
        assertHasLine(report, "b jobs 1 late 1: 1=0\\.1/0\\.5 by 2");
        assertHasLine(report, "worth offered 24, earned 6; lost, by reason");
        assertHasLine(report, "3 12\\.5% 1 served late by a cold worker");
        assertHasLine(report, "3 12\\.5% 1 turned away at once while warm workers had free slots");
        assertHasLine(report, "3 12\\.5% 1 given up after an execution that ended in error");
        assertHasLine(report, "3 12\\.5% 1 its scheduler ended with it open, and began anew");
    }

    @Test
    void reportsMissingTracesInOneLine() throws Exception {
        assertEquals(1, run("fleet", dir.resolve("none").toString()));
        Files.writeString(dir.resolve("n0.log"), "10:00:00.000 INFO Platform - n0 listens\n");
        assertEquals(1, run("fleet", dir.toString()));
        assertEquals(2, run("fleet"));
        assertEquals(3, err.toString(StandardCharsets.UTF_8).lines().count());
    }
}
