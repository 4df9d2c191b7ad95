package damsonslip.faktory.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import damsonslip.store.JobRecord;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decoding of commands and pushed jobs, and the JSON of jobs that workers receive. */
class CodecTest {
    /** A valid job without its closing brace, so that fields can be appended. */
    private static final String JOB = "{\"jid\":\"job-00001\",\"jobtype\":\"t\",\"args\":[1]";

    private static PushedJob job(String fields) throws MalformedCommandException {
        return PushedJob.decode(Json.read(JOB + fields + "}"), 1_000_000, 60);
    }

    @Test
    void appliesTheProtocolsDefaults() throws MalformedCommandException {
        PushedJob job = job("");
        assertEquals("default", job.queue());
        assertEquals(25, job.retryLimit());
        assertEquals(1_800_000, job.reservationMs());
        assertEquals(5, job.priority());
        assertEquals(0, job.scheduledMs());
        assertEquals(0, job.custom().deadlineMs(), "no client waits for it");
        assertEquals(
                60_000,
                job(",\"reserve_for\":1").reservationMs(),
                "raised to the minimum of a minute");
        assertEquals(-1, job(",\"retry\":-1").retryLimit());
    }

    @Test
    void acceptsTimesWithAnyOffsetAndFraction() throws MalformedCommandException {
        assertEquals(1_767_225_600_000L, job(",\"at\":\"2026-01-01T00:00:00Z\"").scheduledMs());
        assertEquals(
                1_767_225_600_000L,
                job(",\"at\":\"2026-01-01T05:45:00.000000000+05:45\"").scheduledMs());
        assertEquals(
                1_767_225_600_123L,
                job(",\"at\":\"2025-12-31T23:00:00.1239-01:00\"").scheduledMs());
        assertEquals(
                0,
                job(",\"at\":\"1970-01-01T00:00:01Z\"").scheduledMs(),
                "a time in the past means immediately");
        assertEquals(1_005_000, job(",\"custom\":{\"deadline\":5}").custom().deadlineMs());
        assertEquals(
                1_767_225_605_000L,
                job(",\"at\":\"2026-01-01T00:00:00Z\",\"custom\":{\"deadline\":5}")
                        .custom()
                        .deadlineMs(),
                "relative to the time for which it is scheduled");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                ",\"retry\":\"x\"",
                ",\"retry\":1e99",
                ",\"retry\":99999999999999999999",
                ",\"at\":5",
                ",\"at\":\"now\"",
                ",\"at\":\"+999999999999-01-01T00:00:00Z\"",
                ",\"queue\":\"a b\"",
                ",\"queue\":\"*\"",
                ",\"queue\":7",
                ",\"reserve_for\":-1",
                ",\"custom\":{\"slots\":0}",
                ",\"custom\":{\"slots\":1000}",
                ",\"custom\":{\"deadline\":\"soon\"}",
                ",\"custom\":{\"unique_until\":\"never\"}",
                ",\"custom\":{\"expires_at\":true}",
                ",\"created_at\":5"
            })
    void rejectsInvalidJob(String fields) {
        assertThrows(MalformedCommandException.class, () -> job(fields));
    }

    /** Numbers are preserved, however many digits they have. */
    @Test
    void preservesTheProducersFields() throws MalformedCommandException {
        String args = "\"args\":[1.10,12345678901234567890123456789,1E+400,0.1,\"\\u0000é\"]";
        JsonNode original =
                Json.read(
                        JOB.replace("\"args\":[1]", args)
                                + ",\"x\":{\"y\":null},\"failure\":{\"n\":1}}");
        JsonNode decoded = Json.read(PushedJob.decode(original, 0, 60).body());
        assertEquals(original.path("args").toString(), decoded.path("args").toString());
        assertTrue(
                decoded.path("args")
                        .toString()
                        .startsWith("[1.10,12345678901234567890123456789,1E+400"));
        assertEquals(original.path("x"), decoded.path("x"));
        assertTrue(decoded.path("failure").isMissingNode(), "a producer cannot set the failure");
    }

    @Test
    void addsTheFailureToTheJson() throws MalformedCommandException {
        PushedJob pushed = job("");
        JobRecord.Options options =
                new JobRecord.Options("q", "t", "c", 5, 25, 1, 1, 0, 0, "", "", "", 0, false, 0);
        JobRecord record = JobRecord.pushed("job-00001", options, 0, 0);
        JsonNode withoutFailure = Json.read(JobJson.merge(pushed.body(), record, 1_000));
        assertEquals("1970-01-01T00:00:01Z", withoutFailure.path("enqueued_at").asText());
        assertTrue(withoutFailure.path("failure").isMissingNode());
        JsonNode failed =
                Json.read(
                                JobJson.merge(
                                        pushed.body(),
                                        record.withFailure(
                                                new JobRecord.Failure(
                                                        3, 2_000, 7_000, "E\"", "m", List.of("x"))),
                                        1_000))
                        .path("failure");
        assertEquals(3, failed.path("retry_count").asInt());
        assertEquals(22, failed.path("remaining").asInt());
        assertEquals("1970-01-01T00:00:07Z", failed.path("next_at").asText());
        assertEquals("E\"", failed.path("errtype").asText());
        assertEquals("x", failed.path("backtrace").path(0).asText());
    }

    @Test
    void decodesCommands() throws MalformedCommandException {
        assertEquals(List.of("default"), ((Command.Fetch) CommandDecoder.decode("FETCH")).queues());
        assertEquals(
                List.of("a", "b"), ((Command.Fetch) CommandDecoder.decode("FETCH a  b")).queues());
        Command.Mutate mutate =
                (Command.Mutate)
                        CommandDecoder.decode(
                                "MUTATE {\"cmd\":\"kill\",\"target\":\"retries\","
                                        + "\"filter\":{\"jids\":[\"x\"],\"regexp\":\"*y*\"}}");
        assertEquals(Command.Mutate.Verb.KILL, mutate.verb());
        assertEquals(Command.Mutate.Target.RETRIES, mutate.target());
        assertEquals("*y*", mutate.filter().glob());
        assertEquals(
                7,
                ((Command.Heartbeat) CommandDecoder.decode("BEAT {\"wid\":\"w\",\"rss_kb\":7}"))
                        .rssKb());
        assertEquals(
                3_600_000,
                ((Command.TrackSet)
                                CommandDecoder.decode(
                                        "TRACK SET {\"jid\":\"j\","
                                                + "\"reserve_until\":\"1970-01-01T01:00:00Z\"}"))
                        .reserveUntilMs());
        assertInstanceOf(Command.BatchCommit.class, CommandDecoder.decode("BATCH COMMIT b-1"));
        assertInstanceOf(Command.Flush.class, CommandDecoder.decode("flush"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "JUMP",
                "PUSH",
                "PUSH []",
                "PUSH {",
                "PUSHB {}",
                "ACK {}",
                "FAIL {\"jid\":5}",
                "BEAT {}",
                "TRACK",
                "TRACK PUT x",
                "TRACK SET {\"jid\":\"j\",\"percent\":101}",
                "MUTATE {}",
                "QUEUE",
                "QUEUE PAUSE",
                "QUEUE JUMP x",
                "BATCH",
                "BATCH NEW",
                "BATCH JUMP x",
                "BATCH NEW {\"success\":1}",
                "PUSH {} {}"
            })
    void rejectsInvalidLineWithOneLineMessage(String line) {
        MalformedCommandException rejected =
                assertThrows(MalformedCommandException.class, () -> CommandDecoder.decode(line));
        assertTrue(
                rejected.getMessage().lines().count() == 1 && rejected.getMessage().length() < 200);
    }

    @Test
    void boundsDepthNumbersAndBulk() {
        assertThrows(
                MalformedCommandException.class,
                () -> CommandDecoder.decode("PUSH " + "[".repeat(10_000) + "]".repeat(10_000)));
        assertThrows(
                MalformedCommandException.class,
                () -> CommandDecoder.decode("PUSH {\"a\":" + "9".repeat(10_000) + "}"));
        String emptyJobs = "{},".repeat(100_000);
        MalformedCommandException rejected =
                assertThrows(
                        MalformedCommandException.class,
                        () -> CommandDecoder.decode("PUSHB [" + emptyJobs + "{}]"));
        assertTrue(rejected.getMessage().contains("in parts"), rejected.getMessage());
    }

    private static final String[] VERBS = {
        "HELLO ",
        "PUSH ",
        "PUSHB ",
        "FETCH ",
        "ACK ",
        "FAIL ",
        "BEAT ",
        "TRACK SET ",
        "TRACK GET ",
        "MUTATE ",
        "QUEUE ",
        "BATCH NEW ",
        "BATCH "
    };

    /** Any line is either decoded or rejected: no other exception is thrown. */
    @Test
    void decodesOrRejectsAnyLine() {
        SplittableRandom random = new SplittableRandom(3);
        int decoded = 0;
        for (int i = 0; i < 30_000; i++) {
            try {
                Command command = CommandDecoder.decode(randomLine(random));
                decoded++;
                if (command instanceof Command.Push push && !push.jobs().isEmpty()) {
                    PushedJob.decode(push.jobs().get(0), 0, 60);
                }
            } catch (MalformedCommandException e) {
                // expected for most lines
            }
        }
        assertTrue(decoded > 3_000, decoded + " lines decoded");
    }

    private static String randomLine(SplittableRandom random) {
        String fields =
                ",\"cmd\":\"kill\",\"target\":\"dead\",\"filter\":{\"jids\":[\"a\"]}"
                        + ",\"wid\":\"w\"}";
        StringBuilder line = new StringBuilder(VERBS[random.nextInt(VERBS.length)]);
        line.append(JOB).append(fields);
        for (int mutations = random.nextInt(4); mutations > 0; mutations--) {
            int at = random.nextInt(line.length());
            switch (random.nextInt(3)) {
                case 0 -> line.deleteCharAt(at);
                case 1 -> line.setCharAt(at, (char) random.nextInt(300));
                default -> line.insert(at, "{}[]\",:19-e".charAt(random.nextInt(11)));
            }
        }
        return line.toString();
    }
}
